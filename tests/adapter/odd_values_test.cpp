#include "adapter/follower_pair.h"
#include "adapter/odd_values.h"
#include "adapter/scripted_store.h"
#include "platform/decode.h"
#include "platform/dialect.h"
#include "platform/store_wire.h"
#include "poplarspool/base/bounded_json.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace poplarspool::adapter {

namespace {

using nlohmann::json;
using test::follower_pair;
using test::jsonReply;
using test::scripted_store;
using test::waitUntil;
using texts = std::vector<std::string>;

constexpr std::size_t entryCount = 10;

/// Entries whose strings have escapes and letters beyond ASCII, as those of other writers may.
texts goodEntries()
{
    texts entries;
    for (std::size_t i = 0; i < entryCount; ++i) {
        const std::string number = std::to_string(i);
        entries.push_back(test::filled(
                "{\"metadata\":{\"name\":\"n-$\xc3\xa4\""
                R"(,"revision":$},"spec":{"service":"s\u00fc\ud83d\ude00$",)"
                R"("address":"10.0.0.1:80","slots":$,"note":["[{\"",-1.5e3,{"a":null,"b":true}]}})",
                number));
    }
    return entries;
}

std::string joined(const texts &entries)
{
    std::string all;
    for (const std::string &each : entries)
        all += (all.empty() ? "" : ",\n ") + each;
    return all;
}

std::string listOf(const texts &entries)
{
    return R"({"items":[)" + joined(entries) + R"(],"currentRev":12})";
}

std::string watchOf(const texts &entries)
{
    texts events;
    for (const std::string &each : entries)
        events.push_back(R"({"removed":false,"object":)" + each + "}");
    return R"({"events":[)" + joined(events) + R"(],"currentRev":12})";
}

std::vector<store_object> listed(const std::string &text)
{
    auto page = pageOf(parseStoreReply(text), 1);
    return page ? std::move(page->objects) : std::vector<store_object>();
}

std::vector<store_object> watched(const std::string &text)
{
    const auto changes = changesOf(parseStoreReply(text), 1);
    std::vector<store_object> objects;
    if (changes) {
        for (const store_change &each : changes->changes)
            objects.push_back(each.object);
    }
    return objects;
}

bool isSame(const store_object &one, const store_object &other)
{
    return one.name == other.name && one.version == other.version && one.spec == other.spec;
}

/// Expects that all entries but one are read as from a reply without the odd one.
void assertOthersAreUnchanged(texts entries, std::size_t position, const std::string &odd)
{
    const texts before = entries;
    entries[position] = odd;
    const std::string shown = "entry " + std::to_string(position) + ": " + odd.substr(0, 300);
    for (const auto &[expected, found] :
         {std::pair(listed(listOf(before)), listed(listOf(entries))),
          std::pair(watched(watchOf(before)), watched(watchOf(entries)))}) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, entryCount, found.size());
        for (std::size_t i = 0; i < entryCount; ++i)
            CPPUNIT_ASSERT_MESSAGE(shown, i == position || isSame(expected[i], found[i]));
        // What was read is sent on: serialising must not throw.
        CPPUNIT_ASSERT(!found[position].spec.dump().empty());
        decodeRunner(found[position].name, found[position].spec);
    }
}

/// @returns The JSON values in the text: strings, numbers and words, but not the keys.
std::vector<std::pair<std::size_t, std::size_t>> valuesIn(const std::string &text)
{
    std::vector<std::pair<std::size_t, std::size_t>> found;
    for (std::size_t at = 0; at < text.size();) {
        std::size_t end = at + 1;
        if (text[at] == '"') {
            while (text[end] != '"')
                end += text[end] == '\\' ? 2 : 1;
            ++end;
        } else if (std::string_view("[]{},:").find(text[at]) == std::string_view::npos) {
            end = text.find_first_of("[]{},:", at);
        } else {
            at = end;
            continue;
        }
        if (text[end] != ':')
            found.emplace_back(at, end);
        at = end;
    }
    return found;
}

std::string withValue(std::string entry, std::size_t value, const std::string &odd)
{
    const auto values = valuesIn(entry);
    const auto [from, to] = values[value % values.size()];
    return entry.replace(from, to - from, odd);
}

} // namespace

class odd_values_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(odd_values_test);
    CPPUNIT_TEST(eachOddValueLeavesTheOtherEntriesUnchanged);
    CPPUNIT_TEST(randomOddValuesLeaveTheOtherEntriesUnchanged);
    CPPUNIT_TEST(oddKeysLeaveTheOtherEntriesUnchanged);
    CPPUNIT_TEST(cutRepliesAreBroken);
    CPPUNIT_TEST(repliesWithOddValuesOfTheirOwnAreBroken);
    CPPUNIT_TEST(oddNamesAreNotMistakenForOthers);
    CPPUNIT_TEST(pagesContinueAfterNamesThatTheStoreAccepts);
    CPPUNIT_TEST(singleObjectsWithOddValuesAreRead);
    CPPUNIT_TEST(oddRunnersAreRefused);
    CPPUNIT_TEST(refusedEntryIsLoggedOnce);
    CPPUNIT_TEST(oddEntriesDoNotKeepOthersFromBeingRelayed);
    CPPUNIT_TEST(oddRepliesOfEnginesAreRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a list or watch that counts as malformed because of one entry.
    void eachOddValueLeavesTheOtherEntriesUnchanged()
    {
        const texts entries = goodEntries();
        const std::size_t values = valuesIn(entries[0]).size();
        for (const std::string &odd : test::oddValues()) {
            // Long values are tried in one place, to keep the test short.
            const std::size_t places = odd.size() < 1000 ? values : 3;
            for (std::size_t i = 0; i < places; ++i)
                assertOthersAreUnchanged(entries, i % entryCount,
                                         withValue(entries[i % entryCount], i, odd));
        }
    }

    void randomOddValuesLeaveTheOtherEntriesUnchanged()
    {
        const texts entries = goodEntries();
        texts values = test::oddValues();
        std::erase_if(values, [](const std::string &each) { return each.size() > 10'000; });
        for (std::uint32_t seed = 0; seed < 500; ++seed) {
            std::mt19937 random(seed);
            const auto draw = [&random](std::size_t count) { return random() % count; };
            const std::size_t position = draw(entryCount);
            std::string odd = entries[position];
            for (std::size_t i = 0; i <= draw(3); ++i)
                odd = withValue(odd, draw(100), values[draw(values.size())]);
            assertOthersAreUnchanged(entries, position, odd);
        }
    }

    void oddKeysLeaveTheOtherEntriesUnchanged()
    {
        for (const std::string &key : test::unreadableStrings())
            assertOthersAreUnchanged(
                    goodEntries(), 4,
                    test::filled(R"({"metadata":{"name":"n"},"spec":{$ :1},$:2})", key));
    }

    /// Guards against a cut list that is taken for a shorter one: all other entries would be
    /// forgotten.
    void cutRepliesAreBroken()
    {
        for (const std::string &odd :
             {std::string("1e999"), std::string("NaN"), std::string("\"\xff\""),
              test::nestedArrays(70), test::nestedObjects(70)}) {
            texts entries = goodEntries();
            entries[1] = withValue(entries[1], 4, odd);
            for (const std::string &whole : {listOf(entries), watchOf(entries)}) {
                CPPUNIT_ASSERT(!parseStoreReply(whole).is_discarded());
                for (std::size_t size = 0; size < whole.size(); ++size)
                    CPPUNIT_ASSERT(parseStoreReply(whole.substr(0, size)).is_discarded());
            }
        }
        // Brackets that are closed in another order than they were opened.
        CPPUNIT_ASSERT(
                parseJsonPruned(std::string(100, '[') + "}" + std::string(99, ']')).is_discarded());
    }

    /// Without such a value, a list would seem to be empty, or complete.
    void repliesWithOddValuesOfTheirOwnAreBroken()
    {
        for (const char *text :
             {R"({"items":NaN,"currentRev":5})", R"({"items":[],"currentRev":1e999})",
              R"({"items":[],"truncated":NaN,"currentRev":5})", R"({"items":[NaN],"currentRev":5})",
              R"({"events":Infinity,"currentRev":5})", R"({"events":[1e999],"currentRev":5})",
              R"({"items":[garbage],"currentRev":5})", "{\"items\":\"\xff\",\"currentRev\":5}"})
            CPPUNIT_ASSERT_MESSAGE(text, parseStoreReply(text).is_discarded());
    }

    /// Guards against an entry whose name is repaired to that of another one, which it would
    /// replace.
    void oddNamesAreNotMistakenForOthers()
    {
        for (const std::string &name : test::unreadableStrings()) {
            const auto objects = listed(R"({"items":[{"metadata":{"name":)" + name
                                        + R"(},"spec":{}}],"currentRev":5})");
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, objects.size());
            CPPUNIT_ASSERT_EQUAL(std::string(), objects[0].name);
        }
    }

    /// Guards against a list that ends at a page whose last name is too long for a call.
    void pagesContinueAfterNamesThatTheStoreAccepts()
    {
        const auto entry = [](const std::string &name) {
            return R"({"metadata":{"name":)" + test::quoted(name) + R"(},"spec":{}})";
        };
        const std::string longName(1'000'000, 'b');
        scripted_store store(
                {jsonReply(R"({"items":[)" + entry("a") + "," + entry(longName) + ","
                           + entry(R"(\ud800)") + R"(],"truncated":true,"currentRev":5})"),
                 jsonReply(R"({"items":[)" + entry(longName) + "," + entry("c")
                           + R"(],"currentRev":5})")});
        store_client client(store.address, store.metrics);
        const auto found = client.list("k", read_mode::Current);
        CPPUNIT_ASSERT(succeeded(found));
        CPPUNIT_ASSERT_EQUAL(std::string("c"), valueOf(found).objects.back().name);
        CPPUNIT_ASSERT(store.requests[1].ends_with("?after=a"));
    }

    void singleObjectsWithOddValuesAreRead()
    {
        const std::string text = R"({"metadata":{"name":"n","revision":3},"spec":{"requests":)"
                                 R"([{"digest":$},$,{"digest":"0000000000000007","served_ms":5,)"
                                 R"("lives":[]}],"x":$}})";
        for (const std::string &odd : test::oddValues()) {
            scripted_store store({jsonReply(test::filled(text, odd))});
            store_client client(store.address, store.metrics);
            const auto found = client.get("k", "n");
            CPPUNIT_ASSERT_MESSAGE(odd.substr(0, 100), succeeded(found));
            const auto records = decodeCrashRecordList(valueOf(found).spec, {}).records;
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, records.size());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, records[0].key);
        }
    }

    void oddRunnersAreRefused()
    {
        const json good{{"service", "s"}, {"address", "127.0.0.1:80"}};
        CPPUNIT_ASSERT(succeeded(decodeRunner("i", good)));
        for (const char *address : {"127.0.0.1:0", "127.0.0.1:-1", "127.0.0.1:65536",
                                    "127.0.0.1:99999999999999999999", "127.0.0.1:1e3"}) {
            json odd = good;
            odd["address"] = address;
            CPPUNIT_ASSERT_MESSAGE(address, !succeeded(decodeRunner("i", odd)));
        }
        CPPUNIT_ASSERT(!succeeded(decodeRunner(std::string(1'000'000, 'i'), good)));
    }

    /// Guards against a log that grows with each read of the list, and a line of any length.
    void refusedEntryIsLoggedOnce()
    {
        journal events({"test"}, systemClock(), 64);
        refused_objects refused("k", events);
        const std::string name(1'000'000, 'n');
        const store_object odd{name, json{{"service", "s"}, {"address", name}}, {}};
        const auto lineCount = [&] { return events.events({"object_ignored", {}, {}}).size(); };
        for (int i = 0; i < 5; ++i)
            CPPUNIT_ASSERT(decodeAll<gateway::runner>({odd}, decodeRunner, refused).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lineCount());
        const auto lines = events.events({"object_ignored", {}, {}});
        for (const event_field &field : lines.front().fields)
            CPPUNIT_ASSERT(field.value.size() <= 512);
        refused.record({"m", notRun(error_code::Broken, "reason")});
        refused.record({"m", notRun(error_code::Broken, "reason")});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, lineCount());
        refused.clear("m");
        refused.record({"m", notRun(error_code::Broken, "reason")});
        refused.record({"m", notRun(error_code::Broken, "other reason")});
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, lineCount());
        CPPUNIT_ASSERT(decodeAll<gateway::runner>({}, decodeRunner, refused).empty());
        decodeAll<gateway::runner>({odd}, decodeRunner, refused);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, lineCount());
    }

    /// Guards against changes that are relayed without those of other entries, or not at all.
    void oddEntriesDoNotKeepOthersFromBeingRelayed()
    {
        test::fake_store store;
        store.put(wire::configKind, wire::configName, test::configSpec(1));
        store.put(wire::runnerKind, "i-1", test::runnerSpec("in_service"));
        const follower_pair pair(store);
        CPPUNIT_ASSERT(waitUntil([&] { return pair.followedByOthersCount() > 0; }));
        int count = 0;
        for (const std::string &odd : test::oddValues()) {
            if (odd.size() < 10'000)
                store.put(wire::runnerKind, "odd-" + std::to_string(count++),
                          R"({"service":"s","address":"10.0.0.1:80","state":)" + odd + "}");
        }
        store.put(wire::runnerKind, R"(\ud800)", test::runnerSpec("in_service"));
        store.put(wire::runnerKind, std::string(100'000, 'n'), test::runnerSpec("in_service"));
        store.put(wire::runnerKind, "i-1", test::runnerSpec("draining"));
        CPPUNIT_ASSERT(waitUntil([&] { return pair.bothHave(1, true); }));
        CPPUNIT_ASSERT(!pair.one->find("odd-0") && !pair.two->find("odd-0"));
        CPPUNIT_ASSERT(!pair.one->hasLogged("changes_untold")
                       && !pair.two->hasLogged("changes_untold"));
    }

    void oddRepliesOfEnginesAreRefused()
    {
        const gateway::dialect engineDialect = platformDialect();
        for (const std::string &odd : test::oddValues()) {
            engineDialect.parseReport(odd);
            engineDialect.parseReport(test::filled(R"({"seq":$,"busy":$})", odd));
            engineDialect.parseReport(R"({"seq":1,"busy":false,"x":)" + odd + "}");
            engineDialect.parseHandle(odd);
            const auto handle = engineDialect.parseHandle(R"({"kvHandle":)" + odd + "}");
            CPPUNIT_ASSERT(!handle || json::accept(odd));
        }
        CPPUNIT_ASSERT(!engineDialect.parseReport(R"({"seq":1e999,"busy":false})"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(odd_values_test);

} // namespace poplarspool::adapter
