#pragma once

#include "adapter/fake_store.h"
#include "adapter/follower_fixture.h"
#include "platform/adapter.h"
#include "poplarspool/base/http.h"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <string>
#include <vector>

namespace poplarspool::adapter::test {

/// Complete instances on free loopback ports.
class gateway_fleet
{
public:
    /// @param firstPort The first of their ports; busy ones are skipped.
    /// @param zones The instances are spread over these.
    /// @param views Addresses at which the first instances reach the store; the others call it
    ///              directly.
    /// @param retryExtra Retries beyond their share that all instances together may make.
    /// @param sharesStoreUpdates Whether they relay the store's changes to each other.
    gateway_fleet(fake_store &store, int count, std::uint16_t firstPort,
                  std::vector<std::string> zones = {"a"}, std::vector<endpoint> views = {},
                  double retryExtra = 10, bool sharesStoreUpdates = false)
        : store(store), zones(std::move(zones)), views(std::move(views)), retryExtra(retryExtra),
          sharesStoreUpdates(sharesStoreUpdates), port(firstPort)
    {
        for (int i = 0; i < count; ++i)
            startOne();
    }

    ~gateway_fleet()
    {
        for (const auto &one : instances) {
            if (one)
                one->leave();
        }
    }

    /// Stops the instance and closes its callers' connections.
    void stop(std::size_t instance)
    {
        instances[instance]->leave();
        instances[instance].reset();
    }

    void startOne()
    {
        while (port < 30000) {
            gateway::gateway_settings settings = settingsAt(port);
            port = static_cast<std::uint16_t>(port + 10);
            auto instance = std::make_unique<platform_gateway>(settings);
            if (succeeded(instance->start())) {
                instances.push_back(std::move(instance));
                callers.push_back(settings.callerAddress);
                directories.push_back(settings.directoryAddress);
                return;
            }
        }
        CPPUNIT_FAIL("no free ports");
    }

    std::size_t size() const { return callers.size(); }

    /// Sends a request with a new id to `/p/1` of the host `h`.
    /// @returns The HTTP status, or 0 without a reply.
    int sendRequest(std::size_t instance, const std::string &body, const http_headers &more = {})
    {
        http_request request;
        request.method = "POST";
        request.path = "/p/1";
        request.headers = {{"Host", "h"},
                           {"X-Attempt-Id", "a" + std::to_string(++attempts)},
                           {"X-Deadline-Ms", "2000"}};
        request.headers.insert(request.headers.end(), more.begin(), more.end());
        request.body = body;
        request.contentType = "text/plain";
        const auto reply = pool.send(callers[instance], request, std::chrono::seconds(3));
        return succeeded(reply) ? valueOf(reply).status : 0;
    }

    /// Waits until each instance knows all others.
    void waitUntilAllKnowEachOther()
    {
        for (std::size_t i = 0; i < size(); ++i)
            CPPUNIT_ASSERT(waitUntil([&] { return addressesKnownTo(i).size() == size(); }));
    }

    /// @returns The instances' addresses that the instance returns to callers.
    std::vector<std::string> addressesKnownTo(std::size_t instance)
    {
        http_request request;
        request.method = "GET";
        request.path = wire::directoryPath;
        const auto reply = pool.send(directories[instance], request, std::chrono::seconds(3));
        if (!succeeded(reply) || valueOf(reply).status != 200)
            return {};
        return nlohmann::json::parse(valueOf(reply).body).at(wire::addresses);
    }

    const endpoint &callerAddressOf(std::size_t instance) const { return callers[instance]; }

    void waitUntilAllServe(const std::string &body, const http_headers &more = {})
    {
        for (std::size_t i = 0; i < size(); ++i)
            CPPUNIT_ASSERT(waitUntil([&] { return sendRequest(i, body, more) == 200; }));
    }

private:
    gateway::gateway_settings settingsAt(std::uint16_t first) const
    {
        gateway::gateway_settings settings;
        settings.instance.text = "edge-" + std::to_string(first);
        settings.zone.text = zones[instances.size() % zones.size()];
        const std::size_t index = instances.size();
        settings.storeAddress = index < views.size() ? views[index] : store.address();
        std::uint16_t next = first;
        for (endpoint *each :
             {&settings.callerAddress, &settings.readinessAddress, &settings.directoryAddress,
              &settings.loadAddress, &settings.metricsAddress, &settings.peerAddress})
            *each = {"127.0.0.1", next++};
        settings.peerKey = "key of the fleet";
        settings.leaveSeconds = 1;
        settings.retryExtra = retryExtra;
        settings.sharesStoreUpdates = sharesStoreUpdates;
        return settings;
    }

    fake_store &store;
    const std::vector<std::string> zones;
    const std::vector<endpoint> views;
    const double retryExtra;
    const bool sharesStoreUpdates;
    metrics_registry metrics;
    http_pool pool{4, std::chrono::milliseconds(500), metrics, std::chrono::seconds(5)};
    std::vector<std::unique_ptr<platform_gateway>> instances;
    std::vector<endpoint> callers;
    std::vector<endpoint> directories;
    std::uint16_t port;
    std::atomic<int> attempts = 0;
};

} // namespace poplarspool::adapter::test
