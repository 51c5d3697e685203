#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

/// Small stand-ins for the platform's store, runners and requesters, and helpers that start real
/// gateway processes. Everything listens on loopback addresses. The stand-ins live until the
/// process ends: a case exits with std::_Exit() after it has ended its gateways.
namespace standin {

using json = nlohmann::json;
using steady = std::chrono::steady_clock;

inline steady::time_point startOfRun()
{
    static const auto start = steady::now();
    return start;
}

inline double now()
{
    return std::chrono::duration<double>(steady::now() - startOfRun()).count();
}

inline void sleepFor(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/// The record of a case: what was sent, answered and run.
class record
{
public:
    static void open(const std::string &path) { file() = std::fopen(path.c_str(), "w"); }

    static void line(const char *format, ...) __attribute__((format(printf, 1, 2)))
    {
        static std::mutex guard;
        const std::lock_guard lock(guard);
        FILE *to = file() == nullptr ? stdout : file();
        std::fprintf(to, "%9.3f ", now());
        va_list values;
        va_start(values, format);
        std::vfprintf(to, format, values);
        va_end(values);
        std::fputc('\n', to);
        std::fflush(to);
    }

private:
    static FILE *&file()
    {
        static FILE *opened = nullptr;
        return opened;
    }
};

inline std::string randomHex()
{
    static std::mutex guard;
    static std::mt19937_64 random(std::random_device{}());
    const std::lock_guard lock(guard);
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

struct address
{
    std::string host;
    int port = 0;
    std::string text() const { return host + ":" + std::to_string(port); }
};

inline sockaddr_in rawOf(const address &at)
{
    sockaddr_in raw{};
    raw.sin_family = AF_INET;
    raw.sin_port = htons(static_cast<uint16_t>(at.port));
    inet_pton(AF_INET, at.host.c_str(), &raw.sin_addr);
    return raw;
}

/// A blocking connection that reads HTTP messages.
class connection
{
public:
    explicit connection(int fd) : fd(fd)
    {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~connection() { close(); }
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    static std::unique_ptr<connection> to(const address &at)
    {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in raw = rawOf(at);
        if (connect(fd, reinterpret_cast<const sockaddr *>(&raw), sizeof raw) != 0) {
            ::close(fd);
            return nullptr;
        }
        return std::make_unique<connection>(fd);
    }

    bool send(const std::string &bytes)
    {
        std::size_t done = 0;
        while (done < bytes.size()) {
            const ssize_t count =
                    ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            done += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// @returns False at the end of the connection, on an error, or after `seconds`.
    bool fill(double seconds)
    {
        pollfd state{fd, POLLIN, 0};
        const int ready = ::poll(&state, 1, static_cast<int>(seconds * 1000));
        isTimedOut = ready == 0;
        if (ready <= 0)
            return false;
        char bytes[65536];
        const ssize_t count = recv(fd, bytes, sizeof bytes, 0);
        if (count <= 0)
            return false;
        buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    std::string takeBytes(std::size_t count)
    {
        std::string taken = buffer.substr(0, count);
        buffer.erase(0, count);
        return taken;
    }

    bool takeLine(std::string &line, double seconds)
    {
        std::size_t end = 0;
        while ((end = buffer.find("\r\n")) == std::string::npos) {
            if (!fill(seconds))
                return false;
        }
        line = takeBytes(end);
        takeBytes(2);
        return true;
    }

    bool takeExactly(std::size_t count, std::string &to, double seconds)
    {
        while (buffer.size() < count) {
            if (!fill(seconds))
                return false;
        }
        to += takeBytes(count);
        return true;
    }

    void reset()
    {
        const linger immediately{1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
        close();
    }

    void close()
    {
        if (fd >= 0)
            ::close(fd);
        fd = -1;
    }

    bool isOpen() const { return fd >= 0; }
    int descriptor() const { return fd; }

    bool isTimedOut = false;

private:
    int fd;
    std::string buffer;
};

struct message
{
    std::string first; ///< Request or status line.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;

    std::string header(const std::string &name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string path() const
    {
        const std::size_t begin = first.find(' ') + 1;
        return first.substr(begin, first.find(' ', begin) - begin);
    }
    int status() const { return first.size() < 12 ? 0 : std::atoi(first.c_str() + 9); }
};

inline bool readHead(connection &from, message &to, double seconds)
{
    if (!from.takeLine(to.first, seconds))
        return false;
    std::string line;
    while (from.takeLine(line, seconds)) {
        if (line.empty())
            return true;
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            return false;
        std::string name = line.substr(0, colon);
        for (char &letter : name)
            letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        to.headers[name] = value == std::string::npos ? "" : line.substr(value);
    }
    return false;
}

/// Calls `onPiece` for each piece of the body.
/// @returns Whether the body is whole.
inline bool readBody(connection &from, const message &head, double seconds,
                     const std::function<void(const std::string &)> &onPiece)
{
    if (head.header("transfer-encoding") == "chunked") {
        while (true) {
            std::string line;
            if (!from.takeLine(line, seconds))
                return false;
            const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
            std::string piece;
            if (!from.takeExactly(size + 2, piece, seconds))
                return false;
            if (size == 0)
                return true;
            onPiece(piece.substr(0, size));
        }
    }
    std::string body;
    const std::size_t size = std::strtoul(head.header("content-length").c_str(), nullptr, 10);
    if (!from.takeExactly(size, body, seconds))
        return false;
    onPiece(body);
    return true;
}

inline bool readMessage(connection &from, message &to, double seconds)
{
    if (!readHead(from, to, seconds))
        return false;
    return readBody(from, to, seconds, [&to](const std::string &piece) { to.body += piece; });
}

using header_list = std::vector<std::pair<std::string, std::string>>;

inline std::string headText(const std::string &first, const header_list &headers)
{
    std::string text = first + "\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "\r\n";
}

inline std::string replyText(int status, header_list headers, const std::string &body)
{
    headers.emplace_back("Content-Length", std::to_string(body.size()));
    return headText("HTTP/1.1 " + std::to_string(status) + " X", headers) + body;
}

inline std::string chunkText(const std::string &piece)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
    return size + piece + "\r\n";
}

/// Serves each connection on a thread of its own.
class listener
{
public:
    listener(const std::string &host, int port, std::function<void(connection &)> serve)
        : serve(std::move(serve))
    {
        fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in raw = rawOf({host, port});
        if (bind(fd, reinterpret_cast<sockaddr *>(&raw), sizeof raw) != 0
            || ::listen(fd, 1024) != 0)
            throw std::runtime_error("can't listen on " + host);
        socklen_t size = sizeof raw;
        getsockname(fd, reinterpret_cast<sockaddr *>(&raw), &size);
        at = {host, ntohs(raw.sin_port)};
        std::thread([this] { acceptAll(); }).detach();
    }

    /// Connections are refused from now on.
    void stop()
    {
        shutdown(fd, SHUT_RDWR);
        ::close(fd);
    }

    address at;

private:
    void acceptAll()
    {
        while (true) {
            const int accepted = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                return;
            std::thread([this, accepted] {
                connection one(accepted);
                serve(one);
            }).detach();
        }
    }

    std::function<void(connection &)> serve;
    int fd = -1;
};

/// The platform's metadata store, as PROTOCOL.md describes it. Gateways of one deployment must have
/// the same address: they take only each other's datagrams then.
class store
{
public:
    /// What a case does with a call before the store handles it; true: the call is dealt with.
    using call_hook =
            std::function<bool(const std::string &gateway, const message &call, connection &from)>;

    address addAccess(const std::string &gateway)
    {
        accesses.push_back(std::make_unique<listener>(
                "127.0.0.1", 0, [this, gateway](connection &from) { serve(gateway, from); }));
        return accesses.back()->at;
    }

    std::uint64_t put(const std::string &kind, const std::string &name, const json &spec)
    {
        const std::lock_guard lock(guard);
        return putLocked(kind, name, spec);
    }

    void remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(guard);
        const auto found = kinds[kind].find(name);
        if (found == kinds[kind].end())
            return;
        history.push_back({++revision, kind, true, found->second});
        kinds[kind].erase(found);
        changed.notify_all();
    }

    /// Handles a call without answering it.
    std::pair<int, json> execute(const message &call)
    {
        const std::string path = call.path().substr(std::string("/api/objects/").size());
        const std::string plain = path.substr(0, path.find('?'));
        const std::string kind = plain.substr(0, plain.find('/'));
        const std::string name =
                plain.find('/') == std::string::npos ? "" : plain.substr(plain.find('/') + 1);
        if (call.method() == "GET" && !name.empty())
            return get(kind, name);
        if (call.method() == "GET" && path.find("watch=") != std::string::npos)
            return watch(kind, path);
        if (call.method() == "GET")
            return list(kind);
        return write(call, kind, name);
    }

    call_hook onCall;

private:
    struct change
    {
        std::uint64_t revision;
        std::string kind;
        bool isRemoved;
        json object;
    };

    void serve(const std::string &gateway, connection &from)
    {
        while (true) {
            message call;
            if (!readMessage(from, call, 3600))
                return;
            if (onCall && onCall(gateway, call, from)) {
                if (!from.isOpen())
                    return;
                continue;
            }
            sleepFor(0.004);
            const auto [status, body] = execute(call);
            if (!from.send(replyText(status, {{"Content-Type", "application/json"}}, body.dump())))
                return;
        }
    }

    std::uint64_t putLocked(const std::string &kind, const std::string &name, const json &spec)
    {
        json object{{"metadata", {{"name", name}, {"revision", ++revision}}}, {"spec", spec}};
        kinds[kind][name] = object;
        history.push_back({revision, kind, false, object});
        changed.notify_all();
        return revision;
    }

    std::pair<int, json> get(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(guard);
        const auto found = kinds[kind].find(name);
        if (found == kinds[kind].end())
            return {404, json::object()};
        return {200, found->second};
    }

    std::pair<int, json> list(const std::string &kind)
    {
        const std::lock_guard lock(guard);
        json items = json::array();
        for (const auto &[name, object] : kinds[kind])
            items.push_back(object);
        return {200, {{"items", items}, {"truncated", false}, {"currentRev", revision}}};
    }

    std::pair<int, json> watch(const std::string &kind, const std::string &path)
    {
        const std::uint64_t since = std::stoull(path.substr(path.find("watch=") + 6));
        const std::size_t wait = path.find("waitMs=");
        const auto time = std::chrono::milliseconds(
                wait == std::string::npos ? 0 : std::stol(path.substr(wait + 7)));
        const auto end = steady::now() + time;
        std::unique_lock lock(guard);
        while (true) {
            json events = json::array();
            for (const change &one : history) {
                if (one.kind == kind && one.revision > since)
                    events.push_back({{"object", one.object}, {"removed", one.isRemoved}});
            }
            if (!events.empty() || steady::now() >= end)
                return {200, {{"events", events}, {"currentRev", revision}}};
            changed.wait_until(lock, end);
        }
    }

    std::pair<int, json> write(const message &call, const std::string &kind,
                               const std::string &name)
    {
        const json body = json::parse(call.body, nullptr, false);
        if (!body.is_object())
            return {400, json::object()};
        const std::lock_guard lock(guard);
        const json metadata = body.value("metadata", json::object());
        const std::string object = name.empty() ? metadata.value("name", "") : name;
        const auto found = kinds[kind].find(object);
        if (call.method() == "POST") {
            if (found != kinds[kind].end())
                return {409, found->second};
            putLocked(kind, object, body.at("spec"));
            return {201, kinds[kind][object]};
        }
        if (found == kinds[kind].end())
            return {404, json::object()};
        const json &known = found->second;
        if (metadata.contains("revision") && metadata["revision"] != known["metadata"]["revision"])
            return {409, known};
        if (known["spec"] != body.at("spec"))
            putLocked(kind, object, body.at("spec"));
        return {200, kinds[kind][object]};
    }

    std::mutex guard;
    std::condition_variable changed;
    std::uint64_t revision = 10;
    std::map<std::string, std::map<std::string, json>> kinds;
    std::vector<change> history;
    std::vector<std::unique_ptr<listener>> accesses;
};

/// A runner. The case gives the handler of its requests; reports, and requests for another runner,
/// are answered here.
class runner
{
public:
    /// @returns Whether the connection goes on.
    using request_handler = std::function<bool(runner &, const message &, connection &)>;

    runner(store &platform, const std::string &service, request_handler handler,
           const std::string &id = "", int port = 0)
        : id(id.empty() ? "i-" + randomHex().substr(0, 10) : id), service(service),
          platform(platform), handler(std::move(handler)),
          server("127.0.0.1", port, [this](connection &c) { serve(c); })
    { }

    /// The process ends: new connections are refused, and the handler has to reset the others.
    void crash()
    {
        isDead = true;
        server.stop();
    }

    int port() const { return server.at.port; }

    void enter(const std::string &state = "in_service")
    {
        platform.put("servers", id, entryOf(state, ++beats));
    }

    json entryOf(const std::string &state, std::uint64_t seq) const
    {
        return {{"service", service}, {"address", server.at.text()},
                {"zone", "zone-a"},   {"version", "1"},
                {"slots", 16},        {"state", state},
                {"coldLeftMs", 0},    {"seq", seq}};
    }

    header_list baseHeaders(const message &request) const
    {
        header_list headers{{"X-Instance-Id", id}};
        if (!request.header("x-attempt-id").empty())
            headers.emplace_back("X-Attempt-Id", request.header("x-attempt-id"));
        return headers;
    }

    /// The requests that it works on, as its report names them.
    std::mutex guard;
    std::set<std::string> working;

    std::atomic<bool> isDead{false};
    const std::string id;
    const std::string service;

private:
    void serve(connection &from)
    {
        while (true) {
            message request;
            if (!readMessage(from, request, 3600))
                return;
            if (isDead)
                return from.reset();
            const std::string expected = request.header("x-expect-instance");
            header_list headers = baseHeaders(request);
            if (!expected.empty() && expected != id) {
                headers.emplace_back("X-Not-Executed", "1");
                from.send(replyText(421, headers, ""));
                continue;
            }
            if (request.path() == "/api/report") {
                from.send(replyText(200, headers, report().dump()));
                continue;
            }
            if (!handler(*this, request, from))
                return;
        }
    }

    json report()
    {
        const std::lock_guard lock(guard);
        json runs = json::array();
        for (const std::string &one : working)
            runs.push_back({one, 100, 1, 5});
        return {{"models", json::array()},
                {"busy", false},
                {"seq", 0},
                {"queued", 0},
                {"running", working.size()},
                {"kvUsed", 0},
                {"kvTotal", 800000},
                {"kvHandles", 0},
                {"runs", runs}};
    }

    store &platform;
    request_handler handler;
    std::uint64_t beats = 0;
    listener server;
};

/// A gateway process, started with the command of the deploy file and settings like those of a
/// small deployment.
class gateway
{
public:
    gateway(const std::string &name, const std::string &host, const address &storeAt,
            const std::string &folder)
        : name(name), host(host), file(folder + "/" + name + ".toml"),
          log(folder + "/" + name + ".log")
    {
        std::ofstream(file) << "instance = \"" << name << "\"\nzone = \"zone-a\"\n"
                            << "[caller]\naddress = \"" << host << ":8149\"\n"
                            << "[readiness]\naddress = \"" << host << ":8141\"\n"
                            << "[directory]\naddress = \"" << host << ":8143\"\nkeep_seconds = 2\n"
                            << "[peer]\naddress = \"" << host << ":7380\"\nload_address = \""
                            << host << ":7395\"\nshare_store_news = true\n"
                            << "[metrics]\naddress = \"" << host << ":9464\"\n"
                            << "[store]\naddress = \"" << storeAt.text()
                            << "\"\nsettle_ms = 3000\nrunners_ms = 2000\nroutes_ms = 2000\n"
                            << "[retries]\nshare = 0.2\nextra = 52\n[orders]\nlease_ms = 3000\n"
                            << "[workspaces]\n[duties]\nkinds = []\n[limits]\nmemory_mb = 260\n"
                            << "[leave]\nseconds = 8\n";
    }

    void start()
    {
        const std::string program = "target/poplarspool";
        process = fork();
        if (process == 0) {
            const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(output, 1);
            dup2(output, 2);
            execl(program.c_str(), program.c_str(), "gateway", "--settings", file.c_str(),
                  static_cast<char *>(nullptr));
            std::_Exit(127);
        }
        const std::lock_guard lock(allGuard());
        all().insert(process);
    }

    bool isReady() const
    {
        const auto made = connection::to({host, 8141});
        message answer;
        return made && made->send("GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                && readMessage(*made, answer, 1) && answer.status() == 200;
    }

    bool waitUntilReady(double seconds) const
    {
        for (const double end = now() + seconds; now() < end; sleepFor(0.02)) {
            if (isReady())
                return true;
        }
        return false;
    }

    /// Waits until the process runs the program: before, it is still a copy of the case.
    void waitForProgram() const
    {
        const std::string link = "/proc/" + std::to_string(process) + "/exe";
        for (const double end = now() + 1; now() < end; std::this_thread::yield()) {
            char target[4096];
            const ssize_t size = readlink(link.c_str(), target, sizeof target);
            if (size > 0
                && std::string(target, static_cast<std::size_t>(size)).ends_with("/poplarspool"))
                return;
        }
    }

    void signal(int number) const { kill(process, number); }

    /// @returns The status of waitpid(); none if it still runs after `seconds`.
    std::optional<int> waitForEnd(double seconds)
    {
        for (const double end = now() + seconds;; sleepFor(0.01)) {
            int status = 0;
            if (waitpid(process, &status, WNOHANG) == process) {
                const std::lock_guard lock(allGuard());
                all().erase(process);
                return status;
            }
            if (now() >= end)
                return std::nullopt;
        }
    }

    static void killAll()
    {
        const std::lock_guard lock(allGuard());
        for (const pid_t one : all()) {
            kill(one, SIGCONT);
            kill(one, SIGKILL);
            waitpid(one, nullptr, 0);
        }
        all().clear();
    }

    const std::string name;
    const std::string host;

private:
    static std::set<pid_t> &all()
    {
        static std::set<pid_t> processes;
        return processes;
    }
    static std::mutex &allGuard()
    {
        static std::mutex mutex;
        return mutex;
    }

    const std::string file;
    const std::string log;
    pid_t process = -1;
};

inline bool isPortFree(const std::string &host, int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in raw = rawOf({host, port});
    const bool isFree = bind(fd, reinterpret_cast<const sockaddr *>(&raw), sizeof raw) == 0;
    ::close(fd);
    return isFree;
}

/// @returns The first three numbers of a loopback network whose addresses have the ports free.
inline std::string freeNet(int hosts)
{
    for (int attempt = 0; attempt < 200; ++attempt) {
        const int draw = static_cast<int>(std::random_device{}() % 60000);
        const std::string net =
                "127." + std::to_string(10 + draw / 250) + "." + std::to_string(draw % 250) + ".";
        bool isFree = true;
        for (int host = 0; host < hosts && isFree; ++host) {
            for (const int port : {8149, 8141, 8143, 9464, 7380, 7395})
                isFree = isFree && isPortFree(net + std::to_string(10 + host), port);
        }
        if (isFree)
            return net;
    }
    throw std::runtime_error("no free loopback addresses");
}

/// The times of a case, and its outcome.
class case_run
{
public:
    case_run(int count, char **arguments)
    {
        if (count != 2) {
            std::fprintf(stderr, "usage: %s RECORD\n", arguments[0]);
            std::_Exit(2);
        }
        record::open(arguments[1]);
        const char *trouble = std::getenv("TROUBLE");
        hasTrouble = trouble == nullptr || std::strcmp(trouble, "0") != 0;
        signal(SIGPIPE, SIG_IGN);
        for (const int number : {SIGTERM, SIGINT, SIGHUP})
            signal(number, onSignal);
        // A case that can't run, for example without a free address, must not end with another
        // status.
        std::set_terminate([] {
            gateway::killAll();
            std::_Exit(2);
        });
        char pattern[] = "/tmp/review-case-XXXXXX";
        folder = mkdtemp(pattern);
        startOfRun();
        std::thread([this] {
            sleepFor(110);
            finish(2, "not finished within 110 s");
        }).detach();
        record::line("disruption: %s", hasTrouble ? "yes" : "no");
    }

    [[noreturn]] void finish(int status, const std::string &why)
    {
        static std::mutex once;
        once.lock();
        gateway::killAll();
        record::line("%s: %s",
                     status == 0           ? "HELD"
                             : status == 1 ? "BROKEN"
                                           : "NOT RUN",
                     why.c_str());
        std::printf("%s: %s\n",
                    status == 0           ? "held"
                            : status == 1 ? "broken"
                                          : "not run",
                    why.c_str());
        std::fflush(stdout);
        if (std::getenv("KEEP") == nullptr)
            removeFolder();
        std::_Exit(status);
    }

    bool hasTrouble = true;
    std::string folder;

private:
    static void onSignal(int)
    {
        gateway::killAll();
        std::_Exit(2);
    }

    void removeFolder() const
    {
        for (int i = 0; i < 20; ++i) {
            for (const char *end : {".toml", ".log"})
                unlink((folder + "/gateway-" + std::to_string(i) + end).c_str());
        }
        rmdir(folder.c_str());
    }
};

inline json routeOf(const std::string &name, const std::string &kind, const std::string &service,
                    int timeoutMs, int attempts, bool isResumable = false)
{
    json route{{"name", name},  {"host", "ficu95.example"}, {"pathPrefix", "/" + name + "/"},
               {"kind", kind},  {"service", service},       {"timeoutMs", timeoutMs},
               {"priority", 1}, {"targetLatencyMs", 500},   {"attempts", attempts}};
    if (isResumable) {
        route["resumable"] = true;
        route["targetGapMs"] = 400;
    }
    return route;
}

inline json manifestOf(int version, const json &routes, const std::vector<std::string> &services)
{
    json listed = json::array();
    for (const std::string &one : services)
        listed.push_back({{"name", one}});
    return {{"version", version},
            {"routes", routes},
            {"services", listed},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 4194304},
              {"headerTimeoutMs", 5000},
              {"idleTimeoutMs", 10000}}}};
}

inline std::string requestText(const std::string &method, const std::string &path,
                               const std::string &id, int timeMs, const header_list &more,
                               const std::string &body)
{
    header_list headers{{"Host", "ficu95.example"},
                        {"X-Attempt-Id", id},
                        {"X-Deadline-Ms", std::to_string(timeMs)}};
    headers.insert(headers.end(), more.begin(), more.end());
    if (method == "POST" || !body.empty())
        headers.emplace_back("Content-Length", std::to_string(body.size()));
    return headText(method + " " + path + " HTTP/1.1", headers) + body;
}

} // namespace standin
