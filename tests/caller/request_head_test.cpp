#include "caller/request_head.h"

#include "poplarspool/config.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::caller {

class request_head_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_head_test);
    CPPUNIT_TEST(readsEveryHeader);
    CPPUNIT_TEST(takesARequestWithoutHeaders);
    CPPUNIT_TEST(namesTheFaultyHeader);
    CPPUNIT_TEST(leavesOtherSchemesAlone);
    CPPUNIT_TEST(keepsTheCallersKeyFromServices);
    CPPUNIT_TEST_SUITE_END();

public:
    void readsEveryHeader()
    {
        const http_headers headers{{"authorization", "bearer  s3cret"},
                                   {"idempotency-key", "order 7"},
                                   {"Poplarspool-Workspace", "kandy"},
                                   {"Poplarspool-Caller", "portal"},
                                   {"Poplarspool-Time-Limit-Ms", "600000"}};
        const auto head = parse(headers);
        CPPUNIT_ASSERT(succeeded(head));
        const request_head expected{{"r1"},     "s3cret",  {"portal"},
                                    {"kandy"},  "order 7", milliseconds(600000),
                                    mono_time{}};
        CPPUNIT_ASSERT(expected == valueOf(head));
    }

    void takesARequestWithoutHeaders()
    {
        const auto head = parse({});
        CPPUNIT_ASSERT(succeeded(head));
        CPPUNIT_ASSERT(!valueOf(head).timeLimit);
        CPPUNIT_ASSERT(valueOf(head).idempotencyKey.empty());
    }

    void namesTheFaultyHeader()
    {
        const std::string tooLong(config::maxNameBytes + 1, 'a');
        for (const std::string &value :
             {std::string(), tooLong, std::string("a\tb"), std::string("\xc3\xa9")}) {
            assertRefused(idempotencyHeader, value);
            assertRefused(workspaceHeader, value);
            assertRefused(callerHeader, value);
        }
        for (const std::string value :
             {"", "0", "-1", "+5", "5 ", "1.5", "600001", "0x10", "99999999999999999999"})
            assertRefused(timeLimitHeader, value);
        const http_headers twice{{"Idempotency-Key", "a"}, {"idempotency-key", "a"}};
        CPPUNIT_ASSERT(!succeeded(parse(twice)));
    }

    void leavesOtherSchemesAlone()
    {
        const auto head = parse({{"Authorization", "Basic dTpw"}});
        CPPUNIT_ASSERT(succeeded(head));
        CPPUNIT_ASSERT(valueOf(head).bearerKey.empty());
    }

    void keepsTheCallersKeyFromServices()
    {
        const http_headers headers{{"authorization", "Bearer s3cret"},
                                   {"poplarspool-caller", "portal"},
                                   {"poplarspool-request-id", "forged"},
                                   {"Accept", "text/plain"}};
        const http_headers expected{{"Accept", "text/plain"}, {"Poplarspool-Request-Id", "r1"}};
        CPPUNIT_ASSERT(expected == headersForService(headers, {"r1"}));
    }

private:
    static result<request_head> parse(const http_headers &headers)
    {
        return parseHead(headers, {"r1"}, mono_time{});
    }

    static void assertRefused(std::string_view name, const std::string &value)
    {
        const auto head = parse({{std::string(name), value}});
        CPPUNIT_ASSERT_MESSAGE(std::string(name) + ": " + value, !succeeded(head));
        const error &fault = errorOf(head);
        CPPUNIT_ASSERT(fault.code == error_code::BadRequest);
        CPPUNIT_ASSERT(fault.ran == verdict::NotRun);
        CPPUNIT_ASSERT(fault.message.find(name) != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_head_test);

} // namespace poplarspool::caller
