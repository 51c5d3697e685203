#include "withdrawals/withdrawal_message.h"

#include "peer/packed_address_codec.h"
#include "poplarspool/base/limits.h"
#include "poplarspool/peer/limits.h"
#include "poplarspool/withdrawals/limits.h"

namespace poplarspool::withdrawals {

namespace {

constexpr std::size_t minNoticeBytes = 10;

template <class Codec, class Update>
void updateFields(Codec &codec, Update &update)
{
    codec.list(update.notices, config::maxWithdrawalNotices, minNoticeBytes,
               [](Codec &each, auto &notice) {
                   each.text(notice.runner.id.text, config::maxNameBytes);
                   each.fixed(notice.runner.startedAtMs);
                   each.small(notice.restMs);
               });
    codec.list(update.forwardTo, config::maxForwardGroup, peer::packedAddressBytes,
               [](Codec &each, auto &address) { peer::addressFields(each, address); });
}

} // namespace

result<std::string> encode(const withdrawal_update &update)
{
    return peer::tryEncode([&update](peer::encoder &out) { updateFields(out, update); });
}

result<withdrawal_update> decodeWithdrawalUpdate(std::string_view payload)
{
    try {
        peer::decoder in(payload);
        withdrawal_update update;
        updateFields(in, update);
        in.finish();
        return update;
    } catch (const std::exception &) {
        return notRun(error_code::Broken, "malformed message about runners that leave or rest");
    }
}

} // namespace poplarspool::withdrawals
