#include "poplarspool/caller/caller_server.h"

#include "poplarspool/base/limits.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace poplarspool::caller {

class caller_server_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(caller_server_test);
    CPPUNIT_TEST(addressesAndModelsAreListed);
    CPPUNIT_TEST(everyReplyHasAUniqueRequestId);
    CPPUNIT_TEST(unknownRoutesAndMethodsAreRejected);
    CPPUNIT_TEST(completionIsSentWholeOrStreamed);
    CPPUNIT_TEST(serviceCallIsForwarded);
    CPPUNIT_TEST(throwingHandlerGivesInternalError);
    CPPUNIT_TEST(throwingHandlerClosesAStartedReply);
    CPPUNIT_TEST(requestOutcomeIsLoggedAndCounted);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        handlers.addresses = [](const request_head &, const zone_id &zone) {
            return result<address_answer>(
                    address_answer{{{zone.text == "b" ? "127.0.0.2" : "127.0.0.1", 81}},
                                   std::chrono::seconds(10)});
        };
        handlers.models = [](const request_head &) {
            return result<std::vector<std::string>>(std::vector<std::string>{"m1", "m2"});
        };
        handlers.complete = [](const completion_request &request, completion_sink &sink) {
            sink.token(request.prompt);
            sink.finish({"stop", 1, 1});
        };
        handlers.callService = [this](const service_request &request, http_sink &sink) {
            serviceRequest = request;
            sink.begin(201, {{"X-Served", "yes"}, {"Poplarspool-Request-Id", "forged"}},
                       "text/plain");
            sink.write("made");
            sink.end();
            return std::optional<error>();
        };
    }

    void tearDown() override
    {
        if (server)
            server->stop();
        server.reset();
    }

    void addressesAndModelsAreListed()
    {
        start();
        const http_reply addresses = send("GET", "/v1/addresses?zone=b");
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"addresses":["127.0.0.2:81"],"keep_seconds":10})"),
                             addresses.body);
        const auto models = nlohmann::json::parse(send("GET", "/v1/models").body);
        CPPUNIT_ASSERT(models.at("object") == "list");
        CPPUNIT_ASSERT(models.at("data").at(1).at("id") == "m2");
        CPPUNIT_ASSERT_EQUAL(200, send("GET", "/healthz").status);
        CPPUNIT_ASSERT_EQUAL(400, send("GET", "/v1/addresses?zone=").status);
    }

    void everyReplyHasAUniqueRequestId()
    {
        start();
        std::vector<std::string> ids;
        for (const http_reply &reply :
             {send("GET", "/healthz"), send("GET", "/none"), send("POST", "/v1/completions", "{"),
              send("POST", "/v1/completions", streamedBody), send("PUT", "/v1/services/s/x"),
              send("GET", "/v1/models", "", {{"Poplarspool-Time-Limit-Ms", "0"}})}) {
            ids.emplace_back(headerOf(reply.headers, requestIdHeader));
            CPPUNIT_ASSERT_EQUAL(std::size_t(32), ids.back().size());
        }
        std::sort(ids.begin(), ids.end());
        CPPUNIT_ASSERT(std::adjacent_find(ids.begin(), ids.end()) == ids.end());
    }

    void unknownRoutesAndMethodsAreRejected()
    {
        start();
        const http_reply unknown = send("GET", "/v1/nothing");
        CPPUNIT_ASSERT_EQUAL(404, unknown.status);
        CPPUNIT_ASSERT_EQUAL(std::string("not_found"), codeOf(unknown));
        const http_reply wrong = send("GET", "/v1/completions");
        CPPUNIT_ASSERT_EQUAL(405, wrong.status);
        CPPUNIT_ASSERT_EQUAL(std::string("POST"), std::string(headerOf(wrong.headers, "Allow")));
        CPPUNIT_ASSERT_EQUAL(std::string("bad_request"), codeOf(wrong));
        CPPUNIT_ASSERT_EQUAL(404, send("GET", "/status").status);
        CPPUNIT_ASSERT_EQUAL(404, send("GET", "/metrics").status);
    }

    void completionIsSentWholeOrStreamed()
    {
        start();
        const http_reply whole =
                send("POST", "/v1/completions", R"({"model":"m1","prompt":"hello"})");
        CPPUNIT_ASSERT_EQUAL(200, whole.status);
        const auto answer = nlohmann::json::parse(whole.body);
        CPPUNIT_ASSERT(answer.at("choices").at(0).at("text") == "hello");
        const http_reply streamed = send("POST", "/v1/completions", streamedBody);
        CPPUNIT_ASSERT_EQUAL(std::string("text/event-stream"), streamed.contentType);
        CPPUNIT_ASSERT(streamed.body.ends_with("data: [DONE]\n\n"));
    }

    void serviceCallIsForwarded()
    {
        start();
        const http_reply reply = send("PATCH", "/v1/services/desk/slots/7?day=1", "payload",
                                      {{"X-Site", "slab"}, {"Idempotency-Key", "k"}});
        CPPUNIT_ASSERT_EQUAL(201, reply.status);
        CPPUNIT_ASSERT_EQUAL(std::string("made"), reply.body);
        CPPUNIT_ASSERT_EQUAL(std::string("yes"), std::string(headerOf(reply.headers, "X-Served")));
        CPPUNIT_ASSERT(headerOf(reply.headers, requestIdHeader) != "forged");
        CPPUNIT_ASSERT_EQUAL(std::string("desk"), serviceRequest.service);
        CPPUNIT_ASSERT_EQUAL(std::string("PATCH"), serviceRequest.request.method);
        CPPUNIT_ASSERT_EQUAL(std::string("/slots/7?day=1"), serviceRequest.request.path);
        CPPUNIT_ASSERT_EQUAL(std::string("payload"), serviceRequest.request.body);
        CPPUNIT_ASSERT_EQUAL(std::string("k"), serviceRequest.head.idempotencyKey);
        CPPUNIT_ASSERT_EQUAL(std::string("slab"),
                             std::string(headerOf(serviceRequest.request.headers, "X-Site")));
    }

    // A handler that throws before it answers may or may not have run the request. The caller must
    // get status 500 with the verdict may_have_run, and no text of the exception.
    void throwingHandlerGivesInternalError()
    {
        handlers.complete = [](const completion_request &, completion_sink &) {
            throw std::runtime_error("boom");
        };
        handlers.models = [](const request_head &) -> result<std::vector<std::string>> {
            throw std::runtime_error("bang");
        };
        start();
        for (const http_reply &reply :
             {send("POST", "/v1/completions", streamedBody), send("GET", "/v1/models")}) {
            CPPUNIT_ASSERT_EQUAL(500, reply.status);
            CPPUNIT_ASSERT(reply.body.find("may_have_run") != std::string::npos);
            CPPUNIT_ASSERT(reply.body.find("bo") == std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), events.events({"handler_threw", "", ""}).size());
    }

    // The handler throws after it has forwarded part of a service's reply. The connection must be
    // closed without ending the reply; otherwise the partial reply looks complete to the caller.
    void throwingHandlerClosesAStartedReply()
    {
        handlers.callService = [](const service_request &,
                                  http_sink &sink) -> std::optional<error> {
            sink.begin(200, {}, "text/plain");
            sink.write("half");
            throw std::runtime_error("boom");
        };
        start();
        const auto reply =
                pool.send(address, {"GET", "/v1/services/s/x", {}, {}, {}}, milliseconds(20000));
        CPPUNIT_ASSERT(!succeeded(reply));
        CPPUNIT_ASSERT(errorOf(reply).ran == verdict::MayHaveRun);
    }

    void requestOutcomeIsLoggedAndCounted()
    {
        handlers.complete = [](const completion_request &, completion_sink &sink) {
            sink.token("a");
            sink.fail(mayHaveRun(error_code::Broken, "died"));
        };
        start();
        send("POST", "/v1/completions", streamedBody, {{"Poplarspool-Workspace", "kandy"}});
        server->stop();
        const auto finished = events.events({"request_out", "", ""});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), finished.size());
        CPPUNIT_ASSERT_EQUAL(std::string("kandy"), fieldOf(finished[0], "workspace"));
        CPPUNIT_ASSERT_EQUAL(std::string("200"), fieldOf(finished[0], "status"));
        CPPUNIT_ASSERT_EQUAL(std::string("broken"), fieldOf(finished[0], "code"));
        CPPUNIT_ASSERT_EQUAL(std::string("may_have_run"), fieldOf(finished[0], "verdict"));
        CPPUNIT_ASSERT_EQUAL(std::string("1"), fieldOf(finished[0], "tokens"));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), server->openRequests());
        const counter &broken = metrics.counterOf(
                "poplarspool_requests_total{route=\"completions\",code=\"broken\"}");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), broken.get());
    }

private:
    static constexpr const char *streamedBody = R"({"model":"m1","prompt":"hello","stream":true})";

    void start()
    {
        server = std::make_unique<caller_server>(endpoint{"127.0.0.1", 0}, defaultHttpLimits(),
                                                 memory, handlers, systemClock(), metrics, events);
        const auto started = server->start();
        CPPUNIT_ASSERT(succeeded(started));
        address = valueOf(started);
    }

    http_reply send(const std::string &method, const std::string &path,
                    const std::string &body = {}, const http_headers &headers = {})
    {
        const auto reply = pool.send(address, {method, path, headers, body, "application/json"},
                                     milliseconds(20000));
        CPPUNIT_ASSERT_MESSAGE(path, succeeded(reply));
        return valueOf(reply);
    }

    static std::string codeOf(const http_reply &reply)
    {
        return nlohmann::json::parse(reply.body).at("error").at("code").get<std::string>();
    }

    static std::string fieldOf(const event &entry, std::string_view key)
    {
        for (const event_field &field : entry.fields) {
            if (field.key == key)
                return field.value;
        }
        return {};
    }

    metrics_registry metrics;
    journal events{{"test"}, systemClock(), 64};
    memory_budget memory{requestMemoryBytes(config::defaultMemoryMb), metrics};
    http_pool pool{4, milliseconds(2000), metrics};
    caller_handlers handlers;
    service_request serviceRequest;
    std::unique_ptr<caller_server> server;
    endpoint address;
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_server_test);

} // namespace poplarspool::caller
