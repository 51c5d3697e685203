#include "caller/request_head.h"

#include "poplarspool/base/limits.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::caller {

class request_head_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_head_test);
    CPPUNIT_TEST(allHeadersAreParsed);
    CPPUNIT_TEST(allHeadersAreOptional);
    CPPUNIT_TEST(errorNamesTheInvalidHeader);
    CPPUNIT_TEST(otherAuthorizationSchemesAreIgnored);
    CPPUNIT_TEST(callerCredentialsAreNotForwardedToServices);
    CPPUNIT_TEST_SUITE_END();

public:
    void allHeadersAreParsed()
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

    void allHeadersAreOptional()
    {
        const auto head = parse({});
        CPPUNIT_ASSERT(succeeded(head));
        CPPUNIT_ASSERT(!valueOf(head).timeLimit);
        CPPUNIT_ASSERT(valueOf(head).idempotencyKey.empty());
    }

    void errorNamesTheInvalidHeader()
    {
        const std::string tooLong(config::maxNameBytes + 1, 'a');
        for (const std::string &value :
             {std::string(), tooLong, std::string("a\tb"), std::string("\xc3\xa9")}) {
            assertRejected(idempotencyHeader, value);
            assertRejected(workspaceHeader, value);
            assertRejected(callerHeader, value);
        }
        for (const std::string value :
             {"", "0", "-1", "+5", "5 ", "1.5", "600001", "0x10", "99999999999999999999"})
            assertRejected(timeLimitHeader, value);
        const http_headers repeated{{"Idempotency-Key", "a"}, {"idempotency-key", "a"}};
        CPPUNIT_ASSERT(!succeeded(parse(repeated)));
    }

    void otherAuthorizationSchemesAreIgnored()
    {
        const auto head = parse({{"Authorization", "Basic dTpw"}});
        CPPUNIT_ASSERT(succeeded(head));
        CPPUNIT_ASSERT(valueOf(head).bearerKey.empty());
    }

    void callerCredentialsAreNotForwardedToServices()
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

    static void assertRejected(std::string_view name, const std::string &value)
    {
        const auto head = parse({{std::string(name), value}});
        CPPUNIT_ASSERT_MESSAGE(std::string(name) + ": " + value, !succeeded(head));
        const error &failure = errorOf(head);
        CPPUNIT_ASSERT(failure.code == error_code::BadRequest);
        CPPUNIT_ASSERT(failure.ran == verdict::NotRun);
        CPPUNIT_ASSERT(failure.message.find(name) != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_head_test);

} // namespace poplarspool::caller
