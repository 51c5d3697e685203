#include "node/claim_writer.h"

#include "memory_store.h"
#include "poplarspool/base/limits.h"
#include "poplarspool/policy/limits.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::node {

class claim_writer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(claim_writer_test);
    CPPUNIT_TEST(segmentSurvivesSerialization);
    CPPUNIT_TEST(malformedSegmentIsRejected);
    CPPUNIT_TEST(batchTakesOneWrite);
    CPPUNIT_TEST(claimsOfAnotherWriterAreKept);
    CPPUNIT_TEST(claimIsFoundAfterLostAnswer);
    CPPUNIT_TEST(undecidedWriteIsReportedAsNotRun);
    CPPUNIT_TEST(onlySupersededNonceIsReplaced);
    CPPUNIT_TEST(fullBucketRefusesNewClaims);
    CPPUNIT_TEST(expiredClaimsAreDroppedWithNextWrite);
    CPPUNIT_TEST(wallClockJumpDropsNoClaims);
    CPPUNIT_TEST(unreadableSegmentIsNotOverwritten);
    CPPUNIT_TEST_SUITE_END();

public:
    void segmentSurvivesSerialization()
    {
        claim_segment segment;
        segment.claims["k1"] = {"b1", "n1", {"i1"}, -1};
        segment.claims["k2"] = {"b2", "n2", {"i1"}, 1764700000000};
        segment.claims["k3"] = {"b3", "n3", {"i2"}, 0};
        CPPUNIT_ASSERT(segment == valueOf(parseClaimSegment(textOf(segment))));
    }

    void malformedSegmentIsRejected()
    {
        for (const char *text :
             {"", "[]", "{}", R"({"format":2,"owners":[],"claims":[]})",
              R"({"format":1,"owners":{},"claims":[]})", R"({"format":1,"owners":[]})",
              R"({"format":1,"owners":["i"],"claims":[["k","b","n",1,0]]})",
              R"({"format":1,"owners":["i"],"claims":[["k","b","n",-1,0]]})",
              R"({"format":1,"owners":["i"],"claims":[["k","b","",0,0]]})",
              R"({"format":1,"owners":["i"],"claims":[["k","b","n",0]]})",
              R"({"format":1,"owners":["i"],"claims":[["k","b","n",0,0],["k","b","m",0,0]]})"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !succeeded(parseClaimSegment(text)));
        }
    }

    void batchTakesOneWrite()
    {
        writer_fixture a(shared, clock(), "a");
        const auto outcomes =
                a.write({makeClaim("k1", "n1"), makeClaim("k2", "n2"), makeClaim("k1", "n3")});
        CPPUNIT_ASSERT_EQUAL(std::string("n1"), valueOf(outcomes[0]).nonce);
        CPPUNIT_ASSERT_EQUAL(std::string("n2"), valueOf(outcomes[1]).nonce);
        CPPUNIT_ASSERT_EQUAL(std::string("n1"), valueOf(outcomes[2]).nonce);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), shared.putCount());
        a.write({makeClaim("k1", "n4")});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), shared.putCount());
    }

    // Guards against one key running twice when two batchers write the same bucket. The first
    // batcher writes with an outdated cache; its write conflicts, it reads again and finds the
    // other's claim.
    void claimsOfAnotherWriterAreKept()
    {
        writer_fixture a(shared, clock(), "a");
        writer_fixture b(shared, clock(), "b");
        a.write({makeClaim("k1", "a1")});
        CPPUNIT_ASSERT_EQUAL(std::string("b1"), b.nonceOf(makeClaim("k2", "b1")));
        CPPUNIT_ASSERT_EQUAL(std::string("b1"), a.nonceOf(makeClaim("k2", "a2")));
        CPPUNIT_ASSERT_EQUAL(std::string("a1"), b.nonceOf(makeClaim("k1", "b2")));
    }

    // Guards against a request failing, or running twice, when the claim's write takes effect and
    // its answer is lost: the writer reads the bucket again and recognizes its nonce.
    void claimIsFoundAfterLostAnswer()
    {
        // The store's client backs off after the lost answer, so its clock must advance.
        tick = milliseconds(1);
        writer_fixture a(shared, clock(), "a");
        int left = 1;
        shared.outcomeOfWrite = [&] {
            return left-- > 0 ? write_outcome::AnswerLost : write_outcome::Answered;
        };
        CPPUNIT_ASSERT_EQUAL(std::string("n1"), a.nonceOf(makeClaim("k1", "n1")));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), shared.putCount());
    }

    // A write that is still undecided at the deadline is reported as not run, so the attempt must
    // not be dispatched. The write takes effect later; the next attempt finds its nonce, and
    // supersedes it once the owner has confirmed that it was never dispatched.
    void undecidedWriteIsReportedAsNotRun()
    {
        writer_fixture a(shared, clock(), "a");
        shared.outcomeOfWrite = [this] {
            shared.isCutOff = true;
            return write_outcome::Held;
        };
        now += milliseconds(1);
        const auto first =
                a.writer.write({makeClaim("k1", "dead")}, now + milliseconds(1), noPause);
        CPPUNIT_ASSERT(!succeeded(first[0]));
        CPPUNIT_ASSERT(errorOf(first[0]).ran == verdict::NotRun);
        CPPUNIT_ASSERT(errorOf(first[0]).retryAfter);

        shared.isCutOff = false;
        shared.outcomeOfWrite = [] { return write_outcome::Answered; };
        shared.deliverHeld();
        now += milliseconds(1000);
        CPPUNIT_ASSERT_EQUAL(std::string("dead"), a.nonceOf(makeClaim("k1", "n2")));
        CPPUNIT_ASSERT_EQUAL(std::string("n3"), a.nonceOf(makeClaim("k1", "n3", "dead")));
    }

    // When two attempts supersede the same claim, only one succeeds. The other names a nonce that
    // is no longer in force, and gets the claim that is.
    void onlySupersededNonceIsReplaced()
    {
        writer_fixture a(shared, clock(), "a");
        writer_fixture b(shared, clock(), "b");
        a.write({makeClaim("k1", "dead")});
        CPPUNIT_ASSERT_EQUAL(std::string("dead"), b.nonceOf(makeClaim("k1", "x")));
        CPPUNIT_ASSERT_EQUAL(std::string("a2"), a.nonceOf(makeClaim("k1", "a2", "dead")));
        CPPUNIT_ASSERT_EQUAL(std::string("a2"), b.nonceOf(makeClaim("k1", "b2", "dead")));
    }

    // A full bucket refuses new claims with 503, "not run" and a retry time, because dropping an
    // existing claim would let its request run again. Existing claims are still returned.
    void fullBucketRefusesNewClaims()
    {
        const std::string wide(config::maxNameBytes, 'x');
        claim_segment full;
        full.claims["k0000000"] = {wide, "n", {"i"}, 0};
        const std::size_t firstBytes = textOf(full).size();
        full.claims["k0000001"] = {wide, "n", {"i"}, 0};
        const std::size_t rowBytes = textOf(full).size() - firstBytes;
        const std::size_t rows = (config::maxObjectBytes - firstBytes) / rowBytes + 1;
        for (std::size_t i = 2; i < rows; ++i)
            full.claims["k" + std::to_string(1000000 + i)] = {wide, "n", {"i"}, 0};
        CPPUNIT_ASSERT(textOf(full).size() <= config::maxObjectBytes);
        shared.set(objectKey, textOf(full));
        const std::string existing = full.claims.begin()->first;

        writer_fixture a(shared, clock(), "a");
        pending_claim large = makeClaim("new", "n1");
        large.request.bodyHash = wide;
        large.request.nonce = wide;
        const auto outcomes = a.write({large, makeClaim(existing, "n2")});
        CPPUNIT_ASSERT(!succeeded(outcomes[0]));
        CPPUNIT_ASSERT(errorOf(outcomes[0]).code == error_code::Overloaded);
        CPPUNIT_ASSERT(errorOf(outcomes[0]).ran == verdict::NotRun);
        CPPUNIT_ASSERT(errorOf(outcomes[0]).retryAfter);
        CPPUNIT_ASSERT_EQUAL(std::string("n"), valueOf(outcomes[1]).nonce);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), shared.putCount());
    }

    void expiredClaimsAreDroppedWithNextWrite()
    {
        writer_fixture a(shared, clock(), "a");
        a.write({makeClaim("old", "n1")});
        now += retentionTime;
        a.write({makeClaim("mid", "n2")});
        CPPUNIT_ASSERT(isStored("old"));
        now += milliseconds(1);
        a.write({makeClaim("new", "n3")});
        CPPUNIT_ASSERT(!isStored("old"));
        CPPUNIT_ASSERT(isStored("mid"));
    }

    // Guards against a duplicate running when the wall clock of the bucket's new batcher is a day
    // ahead, so that every claim looks expired by it. Expiry counts only for how long the batcher
    // has observed the claim on its monotonic clock.
    void wallClockJumpDropsNoClaims()
    {
        writer_fixture a(shared, clock(), "a");
        a.write({makeClaim("k1", "n1")});
        wall += std::chrono::hours(24);
        now += retentionTime + milliseconds(1);
        writer_fixture b(shared, clock(), "b");
        CPPUNIT_ASSERT_EQUAL(std::string("n1"), b.nonceOf(makeClaim("k1", "n2")));
        b.write({makeClaim("k2", "n3")});
        CPPUNIT_ASSERT(isStored("k1"));
    }

    void unreadableSegmentIsNotOverwritten()
    {
        shared.set(objectKey, R"({"format":2,"claims":"of a later release"})");
        writer_fixture a(shared, clock(), "a");
        const auto outcomes = a.write({makeClaim("k1", "n1")});
        CPPUNIT_ASSERT(!succeeded(outcomes[0]));
        CPPUNIT_ASSERT(errorOf(outcomes[0]).ran == verdict::NotRun);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), shared.putCount());
    }

private:
    static constexpr milliseconds retentionTime = config::claimRetention;
    static inline const std::string objectKey = "claims/0";
    static inline const backoff_function noPause = [](milliseconds) { return false; };

    struct writer_fixture
    {
        writer_fixture(memory_store &shared, const clock_source &clock, const std::string &name)
            : clock(clock), client(shared, clock, name),
              writer(
                      objectKey, client.store, [] { return retentionTime; }, clock, client.metrics,
                      client.events)
        { }

        std::vector<claim_outcome> write(const std::vector<pending_claim> &claims)
        {
            return writer.write(claims, clock.mono() + std::chrono::minutes(1), noPause);
        }

        std::string nonceOf(const pending_claim &wanted)
        {
            return valueOf(write({wanted})[0]).nonce;
        }

        clock_source clock;
        store_client client;
        claim_writer writer;
    };

    static pending_claim makeClaim(const std::string &key, const std::string &nonce,
                                   std::optional<std::string> supersededNonce = std::nullopt)
    {
        return {{key, "body", nonce, {"i1"}, 0}, std::move(supersededNonce)};
    }

    bool isStored(const std::string &key)
    {
        return findClaim(valueOf(parseClaimSegment(shared.valueOf(objectKey))), key) != nullptr;
    }

    clock_source clock()
    {
        return {[this] { return now += tick; }, [this] { return wall; }};
    }

    memory_store shared;
    mono_time now{std::chrono::hours(1)};
    milliseconds tick{0}; ///< Time by which each reading of the clock advances it.
    wall_time wall{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(claim_writer_test);

} // namespace poplarspool::node
