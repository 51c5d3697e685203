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
        receipts.repeat = retry_policy::Never;
        receipts.needsKey = true;
        request_rule all;
        all.service = "portal";
        ruleSet.requests = {receipts, all};
        CPPUNIT_ASSERT(effectiveRulesOf(ruleSet, call("POST", "/receipts/7")).needsKey);
        CPPUNIT_ASSERT(effectiveRulesOf(ruleSet, call("GET", "/receipts")).repeat
                       == retry_policy::Never);
        CPPUNIT_ASSERT(effectiveRulesOf(ruleSet, call("POST", "/balance")).repeat
                       == retry_policy::Allowed);
        CPPUNIT_ASSERT(!effectiveRulesOf(ruleSet, call("POST", "/balance")).needsKey);
    }

    void classComesFromRuleThenCallerThenDefault()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("rest"),
                             effectiveRulesOf(ruleSet, call("GET", "/")).priorityClass);
        ruleSet.callers = {{{"desk"}, "", {}, "live"}};
        CPPUNIT_ASSERT_EQUAL(0u, effectiveRulesOf(ruleSet, call("GET", "/")).rank);
        request_rule slow;
        slow.pathPrefix = "/slow";
        slow.priorityClass = "rest";
        ruleSet.requests = {slow};
        CPPUNIT_ASSERT_EQUAL(5u, effectiveRulesOf(ruleSet, call("GET", "/slow")).rank);
        CPPUNIT_ASSERT(effectiveRulesOf(ruleSet, call("GET", "/")).timeLimit
                       == std::chrono::seconds(2));
    }

    void postWithoutRuleIsNotRepeated()
    {
        CPPUNIT_ASSERT(effectiveRulesOf(ruleSet, call("POST", "/orders")).repeat
                       == retry_policy::Never);
        CPPUNIT_ASSERT(effectiveRulesOf(ruleSet, call("GET", "/orders")).repeat
                       == retry_policy::Allowed);
        request_facts completion;
        completion.model = "reader";
        completion.method = "POST";
        CPPUNIT_ASSERT(effectiveRulesOf(ruleSet, completion).repeat == retry_policy::Allowed);
    }

    void onlyListedCallersHaveAccess()
    {
        CPPUNIT_ASSERT(succeeded(authenticateCaller(ruleSet, "")));
        CPPUNIT_ASSERT(!valueOf(authenticateCaller(ruleSet, "any")).isValid());
        ruleSet.callers = {{{"desk"}, sha256Hex("secret"), {}, ""}, {{"none"}, "", {}, ""}};
        CPPUNIT_ASSERT(valueOf(authenticateCaller(ruleSet, "secret")) == caller_id{"desk"});
        for (const std::string_view key : {"", "Secret", "secret "}) {
            const error refused = errorOf(authenticateCaller(ruleSet, key));
            CPPUNIT_ASSERT(refused.code == error_code::Unauthorized);
            CPPUNIT_ASSERT(refused.ran == verdict::NotRun);
        }
    }

    void callerMayUseOnlyItsWorkspaces()
    {
        CPPUNIT_ASSERT(mayUseWorkspace(ruleSet, {}, {"lanka"}));
        ruleSet.callers = {{{"desk"}, "", {{"lanka"}}, ""}, {{"any"}, "", {}, ""}};
        CPPUNIT_ASSERT(mayUseWorkspace(ruleSet, {"desk"}, {"lanka"}));
        CPPUNIT_ASSERT(!mayUseWorkspace(ruleSet, {"desk"}, {"totara"}));
        CPPUNIT_ASSERT(mayUseWorkspace(ruleSet, {"any"}, {"totara"}));
        CPPUNIT_ASSERT(!mayUseWorkspace(ruleSet, {"stranger"}, {"lanka"}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rules_test);

} // namespace poplarspool::policy
