#include "crashes/crash_message.h"

#include "crashes/crash_wire.h"

#include <algorithm>

namespace poplarspool::crashes {

namespace {

constexpr std::size_t partBytes = 9;

template <class Codec, class Notice>
void noticeFields(Codec &codec, Notice &notice)
{
    codec.fixed(notice.incarnationKey);
    codec.fixed(notice.endedAtMs);
    codec.fixed(notice.digest);
    codec.list(notice.parts, config::maxSuspectParts, partBytes, [](Codec &each, auto &part) {
        each.fixed(part.key);
        each.fixed(part.place);
    });
}

/// Another writer's lists may have another order: the own ones are sorted.
crash_record normalized(const crash_record &record)
{
    crash_record made = record;
    made.kind = suspect_kind::PromptPart;
    made.incarnations.clear();
    for (ended_incarnation each : record.incarnations) {
        std::ranges::sort(each.digests);
        crash_record one;
        one.incarnations = {std::move(each)};
        made = merged(made, one);
    }
    return made;
}

} // namespace

result<std::string> encode(const crash_message &message)
{
    return peer::tryEncode([&message](peer::encoder &out) {
        out.varint(message.index());
        if (const auto *ended = std::get_if<end_notice>(&message))
            noticeFields(out, *ended);
        else
            partRecordFields(out, std::get<part_notice>(message).record);
    });
}

result<crash_message> decodeCrashMessage(std::string_view payload)
{
    try {
        peer::decoder in(payload);
        crash_message message;
        const std::uint64_t kind = in.varint();
        if (kind == 0) {
            end_notice notice;
            noticeFields(in, notice);
            message = std::move(notice);
        } else if (kind == 1) {
            crash_record record;
            partRecordFields(in, record);
            message = part_notice{normalized(record)};
        } else {
            return notRun(error_code::Broken, "message of a runner's end of an unknown kind");
        }
        in.finish();
        return message;
    } catch (const std::exception &) {
        return notRun(error_code::Broken, "malformed message of a runner's end");
    }
}

std::vector<crash_record> recordsOf(const end_notice &notice)
{
    std::vector<crash_record> records;
    records.reserve(notice.parts.size());
    for (const part_suspect &part : notice.parts) {
        crash_record made;
        made.key = part.key;
        made.kind = suspect_kind::PromptPart;
        made.place = part.place;
        made.incarnations = {{notice.incarnationKey, notice.endedAtMs, false, {notice.digest}}};
        records.push_back(std::move(made));
    }
    return records;
}

} // namespace poplarspool::crashes
