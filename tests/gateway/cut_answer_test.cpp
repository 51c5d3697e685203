#include "proxy_fixture.h"

#include "connected_pair.h"
#include "gateway/byte_carrier.h"
#include "gateway/runner_control.h"
#include "poplarspool/gateway/limits.h"

#include <map>
#include <thread>

namespace poplarspool::gateway {

namespace {

using namespace std::chrono_literals;
using test::keepConnection;
using test::proxy_fixture;
using test::script;
using test::script_end;
using test::script_piece;
using test::scripted_runner;
using test::useEngines;

const std::string statusAndNames = "HTTP/1.1 200 OK\r\nId: q1\r\nSeal: x\r\n";

/// The heads of an answer with a length, in chunks, without either, and after an interim head.
const std::vector<std::string> heads{
        statusAndNames + "Content-Length: 4\r\n\r\n",
        statusAndNames + "Transfer-Encoding: chunked\r\n\r\n",
        statusAndNames + "\r\n",
        "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + statusAndNames + "\r\n",
};

/// Calls `check` for each beginning of each head, closed and reset.
void forEachCutHead(const std::function<void(const script &)> &check)
{
    for (const std::string &head : heads) {
        for (std::size_t bytes = 0; bytes < head.size(); ++bytes) {
            for (const script_end end : {script_end::Close, script_end::Reset})
                check({head.substr(0, bytes), end});
        }
    }
}

/// A runner that ends while it sends an answer: its listening socket is the last one that the
/// kernel closes.
class killed_runner
{
public:
    killed_runner(std::string answer, std::chrono::milliseconds closesAfter)
        : listener(poplarspool::test::listenOnLoopback(boundAddress)),
          thread([this, answer = std::move(answer), closesAfter] {
              {
                  const descriptor connection(accept(listener.get(), nullptr, nullptr));
                  poplarspool::test::readUntil(connection.get(), "\r\n\r\n");
                  sendAll(connection.get(), answer, poplarspool::test::testDeadline(), -1);
              }
              std::this_thread::sleep_for(closesAfter);
              listener.reset();
          })
    { }
    ~killed_runner() { thread.join(); }
    killed_runner(const killed_runner &) = delete;
    killed_runner &operator=(const killed_runner &) = delete;

    const endpoint &address() const { return boundAddress; }

private:
    endpoint boundAddress;
    descriptor listener;
    std::thread thread;
};

/// @returns Whether the caller can take what it got for a whole answer of a runner.
bool looksWhole(const proxy_fixture &test, const std::optional<http_reply> &reply)
{
    return reply ? reply->status < 300 : test.caller.isWhole;
}

/// Moves the only runner to another address.
void moveRunner(proxy_fixture &test, const endpoint &to)
{
    test.publisher.update([&to](catalogue &next) {
        runner changed = *next.runners->find({"r0"});
        changed.address = to;
        putRunner(next, changed);
        return true;
    });
}

const std::string unframed = statusAndNames + "\r\n";

/// Beginnings of answers, by the path of the request.
const std::map<std::string, std::string> cutAnswers{{"/once/1", "abcd"},
                                                    {"/stream/1", "id: 1\ndata: x\n\n"}};

} // namespace

class cut_answer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(cut_answer_test);
    CPPUNIT_TEST(plainAnswerCutInItsHeadIsNotPassedOn);
    CPPUNIT_TEST(streamCutInItsHeadIsNotPassedOn);
    CPPUNIT_TEST(headCutBehindACarrierIsNoHead);
    CPPUNIT_TEST(promptIsPrefilledElsewhereAfterACutHead);
    CPPUNIT_TEST(endOfAKilledRunnerIsNoEndOfAPlainAnswer);
    CPPUNIT_TEST(endOfAKilledRunnerIsNoEndOfAStream);
    CPPUNIT_TEST(doubtAboutARunnerIsNoEndOfAnAnswer);
    CPPUNIT_TEST(listenerThatOutlivesTheRunIsNoProof);
    CPPUNIT_TEST(connectionThatNobodyServesIsNoProof);
    CPPUNIT_TEST(answerOfAProxyIsNoProof);
    CPPUNIT_TEST(strayReplyIsNoProof);
    CPPUNIT_TEST(connectionThatWasNeverAnsweredIsNoProof);
    CPPUNIT_TEST(endBehindUnreadBytesIsNoProof);
    CPPUNIT_TEST(answerThatEndsWithItsTimeIsInDoubt);
    CPPUNIT_TEST(framedAnswersNeedNoWitness);
    CPPUNIT_TEST(runnerThatAnswersNoReportsIsAskedTwice);
    CPPUNIT_TEST(streamOfARunningRunnerIsWhole);
    CPPUNIT_TEST(plainAnswerOfARunningRunnerIsWhole);
    CPPUNIT_TEST(keptConnectionProvesAnAnswerThatEndsAtOnce);
    CPPUNIT_TEST(answersThatEndAtOnceAreProvenAfterTheFirst);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against an answer that stops in its head and reaches its caller as a whole one.
    void plainAnswerCutInItsHeadIsNotPassedOn()
    {
        forEachCutHead([](const script &cut) {
            for (const char *path : {"/once/1", "/again/1"}) {
                scripted_runner runner({cut});
                proxy_fixture test({&runner});
                CPPUNIT_ASSERT(!looksWhole(test, test.sendRequest(path)));
            }
        });
    }

    void streamCutInItsHeadIsNotPassedOn()
    {
        forEachCutHead([](const script &cut) {
            scripted_runner runner({cut});
            proxy_fixture test({&runner});
            CPPUNIT_ASSERT(!looksWhole(test, test.sendRequest("/stream/1")));
        });
    }

    /// The same over the connection of another instance.
    void headCutBehindACarrierIsNoHead()
    {
        counter carried;
        forEachCutHead([&carried](const script &cut) {
            auto [ours, nearEnd] = test::connectedPair();
            auto [farEnd, runnerEnd] = test::connectedPair();
            std::thread carrier([&, near = std::move(nearEnd), far = std::move(farEnd)]() mutable {
                const pollable_flag never;
                carryBytes(std::move(near), std::move(far), never.descriptorNumber(), carried);
            });
            const auto deadline = poplarspool::test::testDeadline();
            sendAll(runnerEnd.get(), cut.bytes, deadline, -1);
            if (cut.end == script_end::Reset)
                abortOnClose(runnerEnd.get());
            runnerEnd.reset();
            {
                runner_call call(std::move(ours), -1);
                const auto head = call.readHead(deadline);
                CPPUNIT_ASSERT(std::get<call_fault>(head) == call_fault::Closed);
            }
            carrier.join();
        });
    }

    /// Guards against a handle that a cut answer names, or that is taken from nothing.
    void promptIsPrefilledElsewhereAfterACutHead()
    {
        const std::string events = "id: 1\ndata: x\n\n";
        forEachCutHead([&events](const script &cut) {
            scripted_runner prefiller({cut});
            scripted_runner decoder({{test::sealed("200 OK", events)}});
            proxy_fixture test({&prefiller, &decoder});
            useEngines(test);
            test.sendRequest("/stream/1", "60000",
                             {{"Tokens", "2000,10"}, {"Parts", "a:1000,b:1000"}});
            CPPUNIT_ASSERT(prefiller.requests().at(0).find("Stage: prefill") != std::string::npos);
            CPPUNIT_ASSERT(decoder.requests().at(0).find("Source:") == std::string::npos);
            CPPUNIT_ASSERT_EQUAL(events, test.caller.body);
        });
    }

    /// Guards against a part of an answer that passes as the whole: the killed runner's connection
    /// is closed in an orderly way, and its host still accepts others for a moment.
    void endOfAKilledRunnerIsNoEndOfAPlainAnswer()
    {
        CPPUNIT_ASSERT_EQUAL(502, askKilledRunner("/once/1", unframed + "abcd")->status);
    }

    void endOfAKilledRunnerIsNoEndOfAStream()
    {
        const auto reply = askKilledRunner("/stream/1", unframed + "id: 1\ndata: x\n\n");
        CPPUNIT_ASSERT(!reply || reply->status != 200);
    }

    /// Guards against the same while the other instance that could tell is frozen.
    void doubtAboutARunnerIsNoEndOfAnAnswer()
    {
        const scripted_runner frozen({});
        const killed_runner ended(unframed + "abcd", 0ms);
        proxy_fixture test({&frozen});
        moveRunner(test, ended.address());
        policy::member other;
        other.id.text = "other";
        other.zone.text = "z";
        other.peerAddress = frozen.address();
        test.connections.members = {other};
        CPPUNIT_ASSERT_EQUAL(502, test.sendRequest("/once/1")->status);
    }

    /// Guards against a run whose processes are killed before the one that listens: that one still
    /// accepts and answers, under the same id.
    void listenerThatOutlivesTheRunIsNoProof()
    {
        for (const auto &[path, body] : cutAnswers) {
            const scripted_runner runner({{unframed + body, script_end::Crash, 100ms}});
            proxy_fixture test({&runner});
            CPPUNIT_ASSERT(!looksWhole(test, test.sendRequest(path)));
            CPPUNIT_ASSERT_EQUAL(std::string(), test.lastFieldOf("send_end", "end_proof"));
        }
    }

    /// Guards against a connection that the kernel accepts while the process ends slowly.
    void connectionThatNobodyServesIsNoProof()
    {
        for (const auto &[path, body] : cutAnswers) {
            const scripted_runner unused({});
            const killed_runner ended(unframed + body, 1s);
            proxy_fixture test({&unused});
            moveRunner(test, ended.address());
            CPPUNIT_ASSERT(!looksWhole(test, test.sendRequest(path)));
        }
    }

    /// Guards against a host or proxy that holds connections open and answers for an ended runner,
    /// or hands them on to its successor.
    void answerOfAProxyIsNoProof()
    {
        for (const char *status :
             {"502 Bad Gateway\r\n", "421 Misdirected\r\n", "200 OK\r\nAnswers-As: another\r\n"}) {
            const std::string reply =
                    "HTTP/1.1 " + std::string(status) + "Content-Length: 0\r\n\r\n";
            const scripted_runner runner({{unframed + "abcd", script_end::Close, 100ms}}, {},
                                         reply);
            proxy_fixture test({&runner});
            CPPUNIT_ASSERT_EQUAL(502, test.sendRequest("/once/1")->status);
        }
    }

    /// Guards against a late second answer that lies on the kept connection of an ended run.
    void strayReplyIsNoProof()
    {
        const std::string reply = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        const scripted_runner runner({{unframed + "abcd", script_end::Crash, 100ms}}, {},
                                     reply + reply);
        proxy_fixture test({&runner});
        CPPUNIT_ASSERT_EQUAL(502, test.sendRequest("/once/1")->status);
    }

    /// Guards against a connection that waits in the backlog until another process serves it.
    void connectionThatWasNeverAnsweredIsNoProof()
    {
        const scripted_runner runner({{unframed + "abcd"}});
        proxy_fixture test({&runner});
        const runner_entry target = test.publisher.current()->runners->find({"r0"});
        auto made =
                test.connections.connector.connect(*target, poplarspool::test::testDeadline(), -1);
        test.connections.connector.releaseUnused(*target, std::move(valueOf(made)));
        CPPUNIT_ASSERT_EQUAL(502, test.sendRequest("/once/1")->status);
    }

    /// Guards against a witness that is opened after the run has ended, while the end of its answer
    /// waits behind bytes that were not read.
    void endBehindUnreadBytesIsNoProof()
    {
        const scripted_runner runner(
                {{unframed + std::string(4'000'000, 'x'), script_end::Crash, 0ms}});
        proxy_fixture test({&runner});
        test.caller.writeTime = 5ms;
        CPPUNIT_ASSERT(!looksWhole(test, test.sendRequest("/once/1")));
    }

    /// Guards against a runner that gives an answer up as its time is over.
    void answerThatEndsWithItsTimeIsInDoubt()
    {
        const scripted_runner runner({{unframed + "abcd", script_end::Close, 400ms}});
        proxy_fixture test({&runner});
        CPPUNIT_ASSERT(!looksWhole(test, test.sendRequest("/once/1", "400")));
    }

    /// Guards against a price for answers that need no proof.
    void framedAnswersNeedNoWitness()
    {
        const scripted_runner runner(
                {{test::sealed("200 OK", "a")}, {test::chunkedStream("id: 1\ndata: x\n\n")}});
        proxy_fixture test({&runner});
        test.sendRequest("/once/1");
        test.sendRequest("/stream/1");
        CPPUNIT_ASSERT_EQUAL(2, runner.connectionCount());
        CPPUNIT_ASSERT_EQUAL(0, runner.reportCount());
    }

    /// Guards against a channel and a wait for each piece of an answer.
    void runnerThatAnswersNoReportsIsAskedTwice()
    {
        const std::vector<script_piece> pieces(30, {"piece", 50ms});
        const scripted_runner runner({{unframed, script_end::Close, 0ms, pieces}}, {}, {});
        proxy_fixture test({&runner});
        CPPUNIT_ASSERT_EQUAL(502, test.sendRequest("/once/1")->status);
        CPPUNIT_ASSERT_EQUAL(1 + static_cast<int>(config::maxWitnessesAsked),
                             runner.connectionCount());
    }

    /// Guards against sound answers without a length that are given up.
    void streamOfARunningRunnerIsWhole()
    {
        const std::string events = "id: 1\ndata: x\n\n";
        const scripted_runner runner({{unframed + events, script_end::Close, 100ms}});
        proxy_fixture test({&runner});
        CPPUNIT_ASSERT(!test.sendRequest("/stream/1"));
        CPPUNIT_ASSERT_EQUAL(events, test.caller.body);
        CPPUNIT_ASSERT(test.caller.isWhole);
        CPPUNIT_ASSERT_EQUAL(std::string("witness"), test.lastFieldOf("send_end", "end_proof"));
    }

    void plainAnswerOfARunningRunnerIsWhole()
    {
        const scripted_runner runner({{unframed + "abcd", script_end::Close, 100ms}});
        proxy_fixture test({&runner});
        CPPUNIT_ASSERT_EQUAL(std::string("abcd"), test.sendRequest("/once/1")->body);
    }

    void keptConnectionProvesAnAnswerThatEndsAtOnce()
    {
        const scripted_runner serving({{unframed + "abcd"}});
        proxy_fixture test({&serving});
        keepConnection(test);
        CPPUNIT_ASSERT_EQUAL(std::string("abcd"), test.sendRequest("/once/1")->body);
    }

    /// Nothing older than the first one is there to prove its end; from then on there is.
    void answersThatEndAtOnceAreProvenAfterTheFirst()
    {
        const scripted_runner runner({{unframed + "a"}, {unframed + "b"}, {unframed + "c"}});
        proxy_fixture test({&runner});
        CPPUNIT_ASSERT_EQUAL(502, test.sendRequest("/once/1")->status);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), test.sendRequest("/once/1")->body);
        CPPUNIT_ASSERT_EQUAL(std::string("c"), test.sendRequest("/once/1")->body);
    }

private:
    /// Asks a runner that is killed at the end of what it has sent.
    static std::optional<http_reply> askKilledRunner(const std::string &path,
                                                     const std::string &answer)
    {
        const scripted_runner unused({});
        const killed_runner ended(answer, config::processExitTime / 2);
        proxy_fixture test({&unused});
        moveRunner(test, ended.address());
        auto reply = test.sendRequest(path);
        CPPUNIT_ASSERT(!looksWhole(test, reply));
        return reply;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cut_answer_test);

} // namespace poplarspool::gateway
