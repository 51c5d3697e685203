#include "fixture.h"

#include "poplarspool/base/hash.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::policy {

class rules_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rules_test);
    CPPUNIT_TEST(firstMatchingRuleApplies);
    CPPUNIT_TEST(classComesFromRuleThenCallerThenDefault);
    CPPUNIT_TEST(postWithoutRuleIsNotRepeated);
    CPPUNIT_TEST(onlyListedCallersHaveAccess);
    CPPUNIT_TEST(callerMayUseOnlyItsWorkspaces);
    CPPUNIT_TEST_SUITE_END();

    rules ruleSet;

    static request_facts call(std::string method, std::string path)
    {
        return {{"desk"}, {"lanka"}, "", "portal", std::move(method), std::move(path)};
    }

public:
    void setUp() override
    {
        ruleSet = {};
        ruleSet.classes = {{"live", 0, std::chrono::seconds(2)},
                           {"rest", 5, std::chrono::minutes(2)}};
    }

    void firstMatchingRuleApplies()
    {
        request_rule receipts;
        receipts.service = "portal";
        receipts.pathPrefix = "/receipts";
        receipts.repeat = repeat_rule::Never;
        receipts.needsKey = true;
        request_rule all;
        all.service = "portal";
        ruleSet.requests = {receipts, all};
        CPPUNIT_ASSERT(rulingOf(ruleSet, call("POST", "/receipts/7")).needsKey);
        CPPUNIT_ASSERT(rulingOf(ruleSet, call("GET", "/receipts")).repeat == repeat_rule::Never);
        CPPUNIT_ASSERT(rulingOf(ruleSet, call("POST", "/balance")).repeat == repeat_rule::Allowed);
        CPPUNIT_ASSERT(!rulingOf(ruleSet, call("POST", "/balance")).needsKey);
    }

    void classComesFromRuleThenCallerThenDefault()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("rest"),
                             rulingOf(ruleSet, call("GET", "/")).priorityClass);
        ruleSet.callers = {{{"desk"}, "", {}, "live"}};
        CPPUNIT_ASSERT_EQUAL(0u, rulingOf(ruleSet, call("GET", "/")).rank);
        request_rule slow;
        slow.pathPrefix = "/slow";
        slow.priorityClass = "rest";
        ruleSet.requests = {slow};
        CPPUNIT_ASSERT_EQUAL(5u, rulingOf(ruleSet, call("GET", "/slow")).rank);
        CPPUNIT_ASSERT(rulingOf(ruleSet, call("GET", "/")).timeLimit == std::chrono::seconds(2));
    }

    void postWithoutRuleIsNotRepeated()
    {
        CPPUNIT_ASSERT(rulingOf(ruleSet, call("POST", "/orders")).repeat == repeat_rule::Never);
        CPPUNIT_ASSERT(rulingOf(ruleSet, call("GET", "/orders")).repeat == repeat_rule::Allowed);
        request_facts completion;
        completion.model = "reader";
        completion.method = "POST";
        CPPUNIT_ASSERT(rulingOf(ruleSet, completion).repeat == repeat_rule::Allowed);
    }

    void onlyListedCallersHaveAccess()
    {
        CPPUNIT_ASSERT(succeeded(admitCaller(ruleSet, "")));
        CPPUNIT_ASSERT(!valueOf(admitCaller(ruleSet, "any")).isValid());
        ruleSet.callers = {{{"desk"}, sha256Hex("secret"), {}, ""}, {{"none"}, "", {}, ""}};
        CPPUNIT_ASSERT(valueOf(admitCaller(ruleSet, "secret")) == caller_id{"desk"});
        for (const std::string_view key : {"", "Secret", "secret "}) {
            const error refused = errorOf(admitCaller(ruleSet, key));
            CPPUNIT_ASSERT(refused.code == error_code::Unauthorized);
            CPPUNIT_ASSERT(refused.ran == verdict::NotRun);
        }
    }

    void callerMayUseOnlyItsWorkspaces()
    {
        CPPUNIT_ASSERT(mayUse(ruleSet, {}, {"lanka"}));
        ruleSet.callers = {{{"desk"}, "", {{"lanka"}}, ""}, {{"any"}, "", {}, ""}};
        CPPUNIT_ASSERT(mayUse(ruleSet, {"desk"}, {"lanka"}));
        CPPUNIT_ASSERT(!mayUse(ruleSet, {"desk"}, {"totara"}));
        CPPUNIT_ASSERT(mayUse(ruleSet, {"any"}, {"totara"}));
        CPPUNIT_ASSERT(!mayUse(ruleSet, {"stranger"}, {"lanka"}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rules_test);

} // namespace poplarspool::policy
