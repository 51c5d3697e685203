#include "gateway/limit_message.h"

#include "peer/frame.h"
#include "poplarspool/gateway/limits.h"
#include "poplarspool/peer/limits.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::gateway {

namespace {

const limit_notice notice{7, 1'700'000'000'000, 8.1, true, engine_stage::Decode, 40, 30};

limit_update longestUpdate()
{
    limit_update update;
    update.notices.assign(config::maxLimitNotices,
                          {UINT32_MAX, UINT64_MAX, config::maxRateLimit, true, engine_stage::Decode,
                           UINT32_MAX, UINT32_MAX});
    for (std::size_t i = 0; i < config::maxForwardGroup; ++i)
        update.forwardTo.push_back({"10.1.2." + std::to_string(i), 7383});
    return update;
}

} // namespace

class limit_message_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(limit_message_test);
    CPPUNIT_TEST(messagesAreUnchangedByTheWire);
    CPPUNIT_TEST(longestUpdateFitsIntoADatagram);
    CPPUNIT_TEST(tornMessagesAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void messagesAreUnchangedByTheWire()
    {
        const limit_message messages[] = {
                limit_update{{notice, {8, 0, std::nullopt, false, engine_stage::None, 0, 0}},
                             {{"10.1.2.3", 7383}}},
                permit_request{3, notice, 2, false, 5},
                permit_reply{3, 1, 250, notice},
        };
        for (const limit_message &message : messages)
            CPPUNIT_ASSERT(valueOf(decodeLimitMessage(valueOf(encode(message)))) == message);
    }

    void longestUpdateFitsIntoADatagram()
    {
        const auto encoded = encode(limit_message(longestUpdate()));
        CPPUNIT_ASSERT(succeeded(encoded));
        CPPUNIT_ASSERT(valueOf(encoded).size() + peer::frameHeaderBytes
                       <= config::maxDatagramBytes);
    }

    void tornMessagesAreRejected()
    {
        const std::string whole = valueOf(encode(limit_message(permit_request{3, notice, 2})));
        for (std::size_t size = 0; size < whole.size(); ++size)
            CPPUNIT_ASSERT(!succeeded(decodeLimitMessage(whole.substr(0, size))));
        CPPUNIT_ASSERT(!succeeded(decodeLimitMessage(whole + 'x')));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(limit_message_test);

} // namespace poplarspool::gateway
