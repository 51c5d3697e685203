#include "fixture.h"

#include "poplarspool/base/hash.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::policy {

class rules_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rules_test);
    CPPUNIT_TEST(firstMatchWins);
    CPPUNIT_TEST(classComesFromRuleThenCallerThenDefault);
    CPPUNIT_TEST(unnamedPostIsNotRepeated);
    CPPUNIT_TEST(namedCallersOnly);
    CPPUNIT_TEST(workspacesOfACaller);
    CPPUNIT_TEST_SUITE_END();

    rules book;

    static request_facts call(std::string method, std::string path)
    {
        return {{"desk"}, {"lanka"}, "", "portal", std::move(method), std::move(path)};
    }

public:
    void setUp() override
    {
        book = {};
        book.classes = {{"live", 0, std::chrono::seconds(2)}, {"rest", 5, std::chrono::minutes(2)}};
    }

    void firstMatchWins()
    {
        request_rule receipts;
        receipts.service = "portal";
        receipts.pathPrefix = "/receipts";
        receipts.repeat = repeat_rule::Never;
        receipts.needsKey = true;
        request_rule all;
        all.service = "portal";
        book.requests = {receipts, all};
        CPPUNIT_ASSERT(rulingOf(book, call("POST", "/receipts/7")).needsKey);
        CPPUNIT_ASSERT(rulingOf(book, call("GET", "/receipts")).repeat == repeat_rule::Never);
        CPPUNIT_ASSERT(rulingOf(book, call("POST", "/balance")).repeat == repeat_rule::Allowed);
        CPPUNIT_ASSERT(!rulingOf(book, call("POST", "/balance")).needsKey);
    }

    void classComesFromRuleThenCallerThenDefault()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("rest"), rulingOf(book, call("GET", "/")).priorityClass);
        book.callers = {{{"desk"}, "", {}, "live"}};
        CPPUNIT_ASSERT_EQUAL(0u, rulingOf(book, call("GET", "/")).rank);
        request_rule slow;
        slow.pathPrefix = "/slow";
        slow.priorityClass = "rest";
        book.requests = {slow};
        CPPUNIT_ASSERT_EQUAL(5u, rulingOf(book, call("GET", "/slow")).rank);
        CPPUNIT_ASSERT(rulingOf(book, call("GET", "/")).timeLimit == std::chrono::seconds(2));
    }

    void unnamedPostIsNotRepeated()
    {
        CPPUNIT_ASSERT(rulingOf(book, call("POST", "/orders")).repeat == repeat_rule::Never);
        CPPUNIT_ASSERT(rulingOf(book, call("GET", "/orders")).repeat == repeat_rule::Allowed);
        request_facts completion;
        completion.model = "reader";
        completion.method = "POST";
        CPPUNIT_ASSERT(rulingOf(book, completion).repeat == repeat_rule::Allowed);
    }

    void namedCallersOnly()
    {
        CPPUNIT_ASSERT(succeeded(admitCaller(book, "")));
        CPPUNIT_ASSERT(!valueOf(admitCaller(book, "any")).isValid());
        book.callers = {{{"desk"}, sha256Hex("secret"), {}, ""}, {{"none"}, "", {}, ""}};
        CPPUNIT_ASSERT(valueOf(admitCaller(book, "secret")) == caller_id{"desk"});
        for (const std::string_view key : {"", "Secret", "secret "}) {
            const error refused = errorOf(admitCaller(book, key));
            CPPUNIT_ASSERT(refused.code == error_code::Unauthorized);
            CPPUNIT_ASSERT(refused.ran == verdict::NotRun);
        }
    }

    void workspacesOfACaller()
    {
        CPPUNIT_ASSERT(mayUse(book, {}, {"lanka"}));
        book.callers = {{{"desk"}, "", {{"lanka"}}, ""}, {{"any"}, "", {}, ""}};
        CPPUNIT_ASSERT(mayUse(book, {"desk"}, {"lanka"}));
        CPPUNIT_ASSERT(!mayUse(book, {"desk"}, {"totara"}));
        CPPUNIT_ASSERT(mayUse(book, {"any"}, {"totara"}));
        CPPUNIT_ASSERT(!mayUse(book, {"stranger"}, {"lanka"}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rules_test);

} // namespace poplarspool::policy
