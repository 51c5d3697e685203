#include "crashes/part_verdicts.h"

#include "poplarspool/crashes/limits.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace poplarspool::crashes {

namespace {

constexpr std::int64_t start = 1'000'000;
/// Longer than one moment.
constexpr std::int64_t pause = 2 * config::crashMoment.count();

/// A prompt's parts by place; each part has its own key.
struct request
{
    std::uint64_t digest = 0;
    std::vector<std::uint64_t> parts;
};

/// Records of parts as a judge collects them.
class evidence
{
public:
    /// All requests ran on one incarnation, which ended `moment` pauses after the start.
    void end(const std::vector<request> &requests, int moment)
    {
        endAt(requests, start + moment * pause);
    }

    /// As above, at any time.
    void endAt(const std::vector<request> &requests, std::int64_t atMs)
    {
        ++incarnations;
        for (const request &one : requests) {
            for (std::size_t place = 0; place < one.parts.size(); ++place) {
                crash_record made;
                made.key = one.parts[place];
                made.kind = suspect_kind::PromptPart;
                made.place = static_cast<std::uint8_t>(place);
                made.incarnations = {{incarnations, atMs, false, {one.digest}}};
                add(made);
            }
        }
    }

    void serveBefore(std::uint64_t part)
    {
        crash_record made;
        made.key = part;
        made.wasServed = true;
        add(made);
    }

    /// A request with the part is served after all ends so far.
    void serve(std::uint64_t part)
    {
        crash_record &record = records[part];
        record.wasServed = true;
        for (ended_incarnation &each : record.incarnations)
            each.isCleared = true;
    }

    void convict(std::uint64_t part) { records[part].isConvicted = true; }

    std::set<std::uint64_t> convicted() const
    {
        std::vector<const crash_record *> all;
        for (const auto &[key, record] : records)
            all.push_back(&record);
        return crashingParts(all);
    }

    const crash_record &recordOf(std::uint64_t part) const { return records.at(part); }

private:
    void add(const crash_record &more)
    {
        crash_record &record = records[more.key];
        record.key = more.key;
        record = merged(record, more);
    }

    std::map<std::uint64_t, crash_record> records;
    std::uint64_t incarnations = 0;
};

using keys = std::set<std::uint64_t>;

constexpr std::uint64_t tenant = 1;
constexpr std::uint64_t cause = 2;
constexpr std::uint64_t otherCause = 3;

} // namespace

class part_verdicts_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(part_verdicts_test);
    CPPUNIT_TEST(narrowestPartIsConvictedAfterThreeMoments);
    CPPUNIT_TEST(newFirstPartIsNotConvictedWithTheCause);
    CPPUNIT_TEST(causeBehindDifferingBeginningsIsConvicted);
    CPPUNIT_TEST(firstPartIsConvictedIfItAloneExplainsTheEnds);
    CPPUNIT_TEST(twoCausesOfOneTenantAreBothConvicted);
    CPPUNIT_TEST(partThatWasServedBeforeIsConvictedAtTheFifthEnd);
    CPPUNIT_TEST(partThatWasServedBeforeNeedsMoreEndsWhereOthersEnd);
    CPPUNIT_TEST(answersAfterTheEndsClearAPart);
    CPPUNIT_TEST(killsOfManyRunnersCountOnce);
    CPPUNIT_TEST(endsOfOneRequestConvictNoPart);
    CPPUNIT_TEST(clocksThatDifferClearNothing);
    CPPUNIT_TEST(ordinaryCrashesConvictNobody);
    CPPUNIT_TEST(upheldVerdictExplainsFurtherEnds);
    CPPUNIT_TEST_SUITE_END();

public:
    void narrowestPartIsConvictedAfterThreeMoments()
    {
        evidence known;
        known.serveBefore(tenant);
        for (int i = 0; i < 3; ++i) {
            CPPUNIT_ASSERT(known.convicted().empty());
            const std::uint64_t digest = 100 + static_cast<std::uint64_t>(i);
            known.end({{digest, {tenant, cause}}, {200 + digest, {tenant, 10 + digest}}}, i);
        }
        CPPUNIT_ASSERT(known.convicted() == keys{cause});
    }

    /// Each request with the cause has the tenant's part as well, so that nothing but the place
    /// tells them apart while nobody is served.
    void newFirstPartIsNotConvictedWithTheCause()
    {
        evidence known;
        for (std::uint64_t i = 0; i < 3; ++i)
            known.end({{100 + i, {tenant, cause}}, {200 + i, {tenant}}}, static_cast<int>(i));
        CPPUNIT_ASSERT(known.convicted() == keys{cause});
    }

    void causeBehindDifferingBeginningsIsConvicted()
    {
        evidence known;
        for (std::uint64_t i = 0; i < 3; ++i)
            known.end({{100 + i, {10 + i, cause, 20 + i}}}, static_cast<int>(i));
        CPPUNIT_ASSERT(known.convicted().empty());
        for (std::uint64_t i = 0; i < 3; ++i)
            known.serveBefore(20 + i);
        CPPUNIT_ASSERT(known.convicted() == keys{cause});
    }

    void firstPartIsConvictedIfItAloneExplainsTheEnds()
    {
        evidence known;
        for (std::uint64_t i = 0; i < config::servedPartIncarnations; ++i) {
            CPPUNIT_ASSERT(known.convicted().empty());
            known.end({{100 + i, {tenant, 10 + i}}}, static_cast<int>(i));
        }
        CPPUNIT_ASSERT(known.convicted() == keys{tenant});
    }

    void twoCausesOfOneTenantAreBothConvicted()
    {
        evidence known;
        known.serveBefore(tenant);
        for (std::uint64_t i = 0; i < 6; ++i)
            known.end({{100 + i, {tenant, i % 2 == 0 ? cause : otherCause}}}, static_cast<int>(i));
        CPPUNIT_ASSERT(known.convicted() == (keys{cause, otherCause}));
    }

    /// Two engines that run requests end together and are back after some seconds: the fifth end
    /// is of the third moment.
    void partThatWasServedBeforeIsConvictedAtTheFifthEnd()
    {
        evidence known;
        known.serveBefore(tenant);
        known.serveBefore(cause);
        for (std::uint64_t i = 0; i < 2; ++i) {
            known.end({{100 + i, {tenant, cause}}}, static_cast<int>(i));
            known.end({{100 + i, {tenant, cause}}, {200 + i, {tenant}}}, static_cast<int>(i));
        }
        CPPUNIT_ASSERT(known.convicted().empty());
        known.end({{102, {tenant, cause}}}, 2);
        CPPUNIT_ASSERT(known.convicted() == keys{cause});
    }

    void partThatWasServedBeforeNeedsMoreEndsWhereOthersEnd()
    {
        evidence known;
        for (const std::uint64_t part : {tenant, cause, std::uint64_t{5}, std::uint64_t{6}})
            known.serveBefore(part);
        for (std::uint64_t i = 0; i < config::servedPartIncarnations; ++i) {
            CPPUNIT_ASSERT(known.convicted().empty());
            known.end({{100 + i, {tenant, cause}}}, static_cast<int>(i));
            known.end({{200 + i, {5, 6}}}, static_cast<int>(i));
        }
        CPPUNIT_ASSERT(known.convicted().contains(cause));
        CPPUNIT_ASSERT(!known.convicted().contains(tenant));
    }

    void answersAfterTheEndsClearAPart()
    {
        evidence known;
        for (std::uint64_t i = 0; i < 20; ++i) {
            known.end({{100 + i, {tenant, cause}}}, static_cast<int>(i));
            if (i % 2 == 1) {
                known.serve(tenant);
                known.serve(cause);
            }
            CPPUNIT_ASSERT(known.convicted().empty());
        }
    }

    void killsOfManyRunnersCountOnce()
    {
        evidence known;
        for (std::uint64_t i = 0; i < 8; ++i)
            known.end({{100 + i, {tenant, cause}}}, 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, weightAgainst(known.recordOf(cause)));
        CPPUNIT_ASSERT(known.convicted().empty());
    }

    /// The request itself is quarantined then.
    void endsOfOneRequestConvictNoPart()
    {
        evidence known;
        for (int i = 0; i < 8; ++i)
            known.end({{100, {tenant, cause}}}, i);
        CPPUNIT_ASSERT(known.convicted().empty());
    }

    /// An answer used to clear all ends with an earlier time of day, also those that came after it
    /// by another instance's clock.
    void clocksThatDifferClearNothing()
    {
        evidence known;
        known.end({{100, {tenant, cause}}}, 0);
        known.serve(cause);
        known.endAt({{101, {tenant, cause}}}, start - 2000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, weightAgainst(known.recordOf(cause)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, weightAgainst(known.recordOf(tenant)));
    }

    /// Runners crash one after the other and two at once, beside parts of which some are new. All
    /// runners serve in between.
    void ordinaryCrashesConvictNobody()
    {
        std::mt19937_64 random(7);
        evidence known;
        for (int moment = 0; moment < 200; ++moment) {
            for (std::uint64_t twin = 0; twin <= random() % 2; ++twin) {
                std::vector<request> running;
                running.reserve(12);
                for (int i = 0; i < 12; ++i)
                    running.push_back({random(), {random() % 20, 100 + random() % 300}});
                known.end(running, moment);
            }
            for (std::uint64_t part = 0; part < 400; ++part) {
                if (random() % 10 < (part < 20 ? 9 : 8))
                    known.serve(part);
            }
            CPPUNIT_ASSERT(known.convicted().empty());
        }
    }

    void upheldVerdictExplainsFurtherEnds()
    {
        evidence known;
        for (std::uint64_t i = 0; i < 3; ++i)
            known.end({{100 + i, {tenant, cause}}}, static_cast<int>(i));
        known.convict(cause);
        for (std::uint64_t i = 3; i < 8; ++i)
            known.end({{100 + i, {tenant, cause}}}, static_cast<int>(i));
        CPPUNIT_ASSERT(isVerdictUpheld(known.recordOf(cause)));
        CPPUNIT_ASSERT(known.convicted().empty());
        known.serve(cause);
        CPPUNIT_ASSERT(!isVerdictUpheld(known.recordOf(cause)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(part_verdicts_test);

} // namespace poplarspool::crashes
