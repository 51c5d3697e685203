#pragma once

#include "gateway/runner_call.h"
#include "gateway/runner_connector.h"
#include "poplarspool/gateway/dialect.h"

namespace poplarspool::gateway {

/// A second connection to the run of a runner that sends an answer, older than the end of that
/// answer. What the run answers on it after that end proves that the answer did not end because its
/// run did: a process that has ended closes all its connections, and no other process answers on
/// them, however long its listening socket or its address stays in use. If a run of several
/// processes is killed, the witness's has to end within config::processExitTime after the answer's;
/// a run that gives up only this answer is not noticed.
class run_witness
{
public:
    /// Opens nothing.
    /// @param used The connection of the answer, before its request is sent; the witness goes the
    ///             same way. Keeps no reference to it.
    /// @param deadline No call lasts longer.
    run_witness(runner_connector &connections, const dialect &names, const runner &target,
                const runner_connection &used, socket_deadline deadline);
    /// Keeps the connection for reuse.
    ~run_witness();
    run_witness(const run_witness &) = delete;
    run_witness &operator=(const run_witness &) = delete;

    /// To be called before the request is sent, for an answer that may end at once.
    void open();

    /// To be called while the answer arrives. Opens the connection, or uses it if it has been idle,
    /// so that the runner doesn't close it.
    /// @param answer The call whose answer arrives.
    void keep(const runner_call &answer);

    /// To be called once the connection of the answer has ended.
    /// @returns Whether the run still answers; false also if that is unknown.
    bool confirm();

private:
    bool acquire();
    bool connect();
    socket_deadline callEnd() const;
    bool ask();
    bool isAnswerOfRun(const http_reply &reply) const;

    runner_connector &connections;
    const dialect &names;
    const runner &target;
    const socket_deadline deadline;
    const runner_connection way; ///< Without a descriptor.
    const socket_deadline createdAt;
    runner_connection connection;
    socket_deadline answeredAt{}; ///< Zero: not asked by this witness.
    socket_deadline idleUntil{}; ///< The runner may close the connection then.
    /// The run has answered on the connection before the end of the answer that is witnessed.
    bool isOlder = false;
    socket_deadline nextTryAt{};
    std::size_t failedTries = 0; ///< While the answer arrived.
};

} // namespace poplarspool::gateway
