#include "proxy_fixture.h"

#include "connected_pair.h"
#include "gateway/byte_carrier.h"

#include <thread>

namespace poplarspool::gateway {

namespace {

using namespace std::chrono_literals;
using test::keepConnection;
using test::proxy_fixture;
using test::script;
using test::script_end;
using test::scripted_runner;
using test::useEngines;

/// Three digits that are no status of HTTP.
const std::vector<std::string> falseStatuses{"000", "001", "099", "600", "999"};

std::string namesOf(const std::string &status)
{
    return "HTTP/1.1 " + status + " X\r\nId: q1\r\nSeal: x\r\n";
}

/// Answers of that status: with a length, in chunks, and ended by the connection.
std::vector<std::string> answersOf(const std::string &status)
{
    const std::string names = namesOf(status);
    return {names + "Content-Length: 4\r\n\r\nabcd",
            names + "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n", names + "\r\nabcd"};
}

const std::vector<std::string> paths{"/once/1", "/again/1", "/stream/1"};

/// @returns Whether the caller got an answer that counts as a runner's.
bool isPassedOn(const proxy_fixture &test, const std::optional<http_reply> &reply)
{
    if (!reply)
        return test.caller.isWhole;
    return reply->status < 300 || !headerOf(reply->headers, "seal").empty();
}

std::optional<http_reply> upload(proxy_fixture &test, const std::string &path, std::size_t bytes)
{
    http_request request =
            test::requestOf("POST", path, {{"Host", "h"}, {"Id", "q1"}, {"Limit", "2000"}});
    request.body.assign(bytes, 'x');
    return request_proxy(test.context, request, test.caller).run();
}

} // namespace

class false_answer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(false_answer_test);
    CPPUNIT_TEST(statusThatIsNoneIsNotPassedOn);
    CPPUNIT_TEST(statusThatIsNoneBehindACarrierIsNoHead);
    CPPUNIT_TEST(promptIsPrefilledElsewhereAfterAStatusThatIsNone);
    CPPUNIT_TEST(earlyAnswerCutByAResetIsNotWhole);
    CPPUNIT_TEST(earlyAnswerCutBehindACarrierIsNotWhole);
    CPPUNIT_TEST(resetThatWasSeenBeforeTheReadIsNoEnd);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a runner in trouble whose answer, of status 000, reaches a caller.
    void statusThatIsNoneIsNotPassedOn()
    {
        for (const std::string &status : falseStatuses) {
            for (const std::string &answer : answersOf(status)) {
                for (const std::string &path : paths) {
                    const scripted_runner runner({{answer}});
                    proxy_fixture test({&runner});
                    const bool isTaken = isPassedOn(test, test.sendRequest(path));
                    CPPUNIT_ASSERT_MESSAGE(std::string(status).append(" at ").append(path),
                                           !isTaken);
                }
            }
        }
    }

    void statusThatIsNoneBehindACarrierIsNoHead()
    {
        for (const std::string &status : falseStatuses) {
            const auto head = headBehindACarrier({answersOf(status).front()});
            CPPUNIT_ASSERT_MESSAGE(status, std::get<call_fault>(head) == call_fault::Malformed);
        }
    }

    /// Guards against a handle from an answer that is none.
    void promptIsPrefilledElsewhereAfterAStatusThatIsNone()
    {
        const std::string events = "id: 1\ndata: x\n\n";
        for (const std::string &status : falseStatuses) {
            const scripted_runner prefiller({{answersOf(status).front()}});
            const scripted_runner decoder({{test::sealed("200 OK", events)}});
            proxy_fixture test({&prefiller, &decoder});
            useEngines(test);
            test.sendRequest("/stream/1", "60000",
                             {{"Tokens", "2000,10"}, {"Parts", "a:1000,b:1000"}});
            CPPUNIT_ASSERT(prefiller.requests().at(0).find("Stage: prefill") != std::string::npos);
            CPPUNIT_ASSERT(decoder.requests().at(0).find("Source:") == std::string::npos);
            CPPUNIT_ASSERT_EQUAL(events, test.caller.body);
        }
    }

    /// Guards against a part that passes as the whole: a runner answers a long upload at once,
    /// without a length, and resets the connection while the upload is being written.
    void earlyAnswerCutByAResetIsNotWhole()
    {
        for (const std::string &path : paths) {
            for (const milliseconds resetsAfter : {0ms, 5ms, 50ms}) {
                const std::string part = path == "/stream/1" ? "id: 1\ndata: x\n\n" : "abcd";
                const scripted_runner runner(
                        {{namesOf("200") + "\r\n" + part, script_end::Reset, resetsAfter}});
                proxy_fixture test({&runner});
                keepConnection(test);
                CPPUNIT_ASSERT_MESSAGE(path, !isPassedOn(test, upload(test, path, uploadBytes)));
            }
        }
    }

    void earlyAnswerCutBehindACarrierIsNotWhole()
    {
        for (const milliseconds resetsAfter : {0ms, 5ms, 50ms}) {
            auto [ours, nearEnd] = test::connectedPair();
            auto [farEnd, runnerEnd] = test::connectedPair();
            counter carried;
            std::thread carrier([&, near = std::move(nearEnd), far = std::move(farEnd)]() mutable {
                const pollable_flag never;
                carryBytes(std::move(near), std::move(far), never.descriptorNumber(), carried);
            });
            const auto deadline = poplarspool::test::testDeadline();
            std::thread runner([&, end = std::move(runnerEnd)] {
                sendAll(end.get(), namesOf("200") + "\r\nabcd", deadline, -1);
                std::this_thread::sleep_for(resetsAfter);
                abortOnClose(end.get());
            });
            body_piece last;
            {
                runner_call call(std::move(ours), -1);
                const std::string body(uploadBytes, 'x');
                call.send({"POST / HTTP/1.1\r\n\r\n", body}, deadline);
                if (std::holds_alternative<reply_head>(call.readHead(deadline)))
                    last = call.readRest(deadline, uploadBytes);
            }
            runner.join();
            carrier.join();
            CPPUNIT_ASSERT(!last.isLast);
        }
    }

    /// Guards against a look at the connection that takes the report of a reset away from the read
    /// after it, which would then see an orderly end.
    void resetThatWasSeenBeforeTheReadIsNoEnd()
    {
        auto [ours, theirs] = test::connectedPair();
        const auto deadline = poplarspool::test::testDeadline();
        runner_call call(std::move(ours), -1);
        call.send({"GET / HTTP/1.1\r\n\r\n"}, deadline);
        sendAll(theirs.get(), "HTTP/1.1 200 OK\r\n\r\nabcd", deadline, -1);
        CPPUNIT_ASSERT(std::holds_alternative<reply_head>(call.readHead(deadline)));
        CPPUNIT_ASSERT_EQUAL(std::string("abcd"), call.readBody(deadline).bytes);
        abortOnClose(theirs.get());
        theirs.reset();
        while (call.isDrainedAndOpen())
            std::this_thread::yield();
        CPPUNIT_ASSERT(!call.isDrainedAndOpen());
        CPPUNIT_ASSERT(call.readBody(deadline).fault == call_fault::Closed);
    }

private:
    static constexpr std::size_t uploadBytes = 8UL * 1024 * 1024;

    static std::variant<reply_head, call_fault> headBehindACarrier(const script &answer)
    {
        auto [ours, nearEnd] = test::connectedPair();
        auto [farEnd, runnerEnd] = test::connectedPair();
        counter carried;
        std::thread carrier([&, near = std::move(nearEnd), far = std::move(farEnd)]() mutable {
            const pollable_flag never;
            carryBytes(std::move(near), std::move(far), never.descriptorNumber(), carried);
        });
        const auto deadline = poplarspool::test::testDeadline();
        sendAll(runnerEnd.get(), answer.bytes, deadline, -1);
        runnerEnd.reset();
        std::variant<reply_head, call_fault> head = call_fault::None;
        {
            runner_call call(std::move(ours), -1);
            head = call.readHead(deadline);
        }
        carrier.join();
        return head;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(false_answer_test);

} // namespace poplarspool::gateway
