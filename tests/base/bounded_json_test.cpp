#include "poplarspool/base/bounded_json.h"

#include "poplarspool/base/limits.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace poplarspool {

namespace {

using nlohmann::json;

std::string nested(std::size_t levels, const std::string &inner = "")
{
    return std::string(levels, '[') + inner + std::string(levels, ']');
}

} // namespace

class bounded_json_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(bounded_json_test);
    CPPUNIT_TEST(parsesUpToMaxDepth);
    CPPUNIT_TEST(ignoresBracketsInStrings);
    CPPUNIT_TEST(prunesOnlyTooDeepValues);
    CPPUNIT_TEST(rejectsInvalidJson);
    CPPUNIT_TEST_SUITE_END();

public:
    void parsesUpToMaxDepth()
    {
        const std::string deepest = nested(config::maxJsonDepth);
        CPPUNIT_ASSERT_EQUAL(deepest, parseJson(deepest).dump());
        CPPUNIT_ASSERT_EQUAL(deepest, parseJsonOrThrow(deepest).dump());
        CPPUNIT_ASSERT_EQUAL(deepest, parseJsonPruned(deepest).dump());
        const std::string tooDeep = nested(config::maxJsonDepth + 1);
        CPPUNIT_ASSERT(parseJson(tooDeep).is_discarded());
        CPPUNIT_ASSERT_THROW(parseJsonOrThrow(tooDeep), json::exception);
        CPPUNIT_ASSERT_EQUAL(nested(config::maxJsonDepth, "null"), parseJsonPruned(tooDeep).dump());
    }

    void ignoresBracketsInStrings()
    {
        const std::string text = json(R"(\"[{)" + std::string(1000, '[') + '\\').dump();
        CPPUNIT_ASSERT_EQUAL(text, parseJson(text).dump());
        const std::string tooDeepAfterString =
                "[" + text + "," + nested(config::maxJsonDepth) + "]";
        CPPUNIT_ASSERT(parseJson(tooDeepAfterString).is_discarded());
    }

    void prunesOnlyTooDeepValues()
    {
        const std::string deep = nested(config::maxJsonDepth - 1, R"({"]":"}"},7,{"a":[[1],2]})");
        const std::string text = R"([{"b":1},)" + deep + R"(,{"c":"]"}])";
        const json kept = parseJsonPruned(text);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, kept.size());
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"b":1})"), kept[0].dump());
        CPPUNIT_ASSERT_EQUAL(nested(config::maxJsonDepth - 1, "null,7,null"), kept[1].dump());
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"c":"]"})"), kept[2].dump());
    }

    void rejectsInvalidJson()
    {
        for (const char *text : {"", "]", "[", "{]", "[1", "\"", "[}]"}) {
            CPPUNIT_ASSERT(parseJson(text).is_discarded());
            CPPUNIT_ASSERT(parseJsonPruned(text).is_discarded());
            CPPUNIT_ASSERT_THROW(parseJsonOrThrow(text), json::exception);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(bounded_json_test);

} // namespace poplarspool
