#include "poplarspool/base/error_reply.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace poplarspool {

class error_reply_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(error_reply_test);
    CPPUNIT_TEST(containsCodeMessageAndVerdict);
    CPPUNIT_TEST(roundsRetryAfterUp);
    CPPUNIT_TEST(omitsRetryAfterForPermanentFailures);
    CPPUNIT_TEST(staysValidJsonWithInvalidUtf8);
    CPPUNIT_TEST_SUITE_END();

public:
    void containsCodeMessageAndVerdict()
    {
        const http_reply reply = replyOf(mayHaveRun(error_code::Broken, "cut \"short\""));
        CPPUNIT_ASSERT_EQUAL(502, reply.status);
        CPPUNIT_ASSERT_EQUAL(std::string("application/json"), reply.contentType);
        const nlohmann::json expected = {
                {"error",
                 {{"code", "broken"}, {"message", "cut \"short\""}, {"verdict", "may_have_run"}}}};
        CPPUNIT_ASSERT(expected == nlohmann::json::parse(reply.body));
    }

    void roundsRetryAfterUp()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("1"), retryAfterOf(milliseconds(0)));
        CPPUNIT_ASSERT_EQUAL(std::string("1"), retryAfterOf(milliseconds(1)));
        CPPUNIT_ASSERT_EQUAL(std::string("1"), retryAfterOf(milliseconds(1000)));
        CPPUNIT_ASSERT_EQUAL(std::string("2"), retryAfterOf(milliseconds(1001)));
    }

    void omitsRetryAfterForPermanentFailures()
    {
        const http_reply reply = replyOf(notRun(error_code::Forbidden, "no"));
        CPPUNIT_ASSERT(headerOf(reply.headers, "Retry-After").empty());
    }

    void staysValidJsonWithInvalidUtf8()
    {
        const http_reply reply = replyOf(notRun(error_code::BadRequest, "\xff\x01"));
        CPPUNIT_ASSERT(nlohmann::json::accept(reply.body));
    }

private:
    static std::string retryAfterOf(milliseconds time)
    {
        const http_reply reply = replyOf(notRun(error_code::Overloaded, "busy", time));
        return std::string(headerOf(reply.headers, "Retry-After"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(error_reply_test);

} // namespace poplarspool
