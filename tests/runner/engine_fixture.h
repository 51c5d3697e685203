#pragma once

#include "poplarspool/runner/engine.h"
#include "standin/engine.h"
#include "standin/tokens.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace poplarspool::runner {

/// Time limit of every wait for an expected event. The test fails when it expires.
constexpr milliseconds testTimeout{20000};

/// Waits until the condition holds, checking it every millisecond.
inline void awaitThat(const std::function<bool()> &condition)
{
    const auto deadline = std::chrono::steady_clock::now() + testTimeout;
    while (!condition()) {
        CPPUNIT_ASSERT_MESSAGE("condition was not reached in time",
                               std::chrono::steady_clock::now() < deadline);
        std::this_thread::sleep_for(milliseconds(1));
    }
}

/// A stand-in engine, by default faster than a real one, and its client.
struct engine_fixture
{
    explicit engine_fixture(standin::engine_options options = fastOptions()) : engine(options)
    {
        const auto started = engine.start();
        CPPUNIT_ASSERT(succeeded(started));
        address = valueOf(started);
    }

    static standin::engine_options fastOptions()
    {
        standin::engine_options options;
        options.setup.models = {{"m", "1"}};
        options.speed = 100;
        return options;
    }

    static generate_request requestFor(const std::string &name, std::uint32_t tokens)
    {
        generate_request request;
        request.request = {name};
        request.attempt = name + "-1";
        request.model = "m";
        request.prompt = "prompt of " + name;
        request.maxTokens = tokens;
        request.timeLeft = testTimeout;
        return request;
    }

    metrics_registry metrics;
    std::shared_ptr<http_pool> pool = std::make_shared<http_pool>(4, milliseconds(1000), metrics);
    engine_api api = httpEngineApi(pool);
    standin::engine_standin engine;
    endpoint address;
};

/// The part of an answer that one caller has received so far.
struct received_answer
{
    std::string text;
    std::vector<std::string> tokens;

    token_receiver receiver()
    {
        return [this](const stream_token &token) {
            CPPUNIT_ASSERT_EQUAL(tokens.size(), std::size_t(token.index));
            text += token.text;
            tokens.push_back(token.text);
            return true;
        };
    }
};

} // namespace poplarspool::runner
