#pragma once

#include "poplarspool/base/http.h"
#include "standin/engine_types.h"

#include <memory>

namespace poplarspool::standin {

/// Emulates a model engine with the HTTP interface of docs/API-ENGINES.md. Tests control it by the
/// paths under /standin/.
class engine_standin
{
public:
    explicit engine_standin(const engine_options &options);
    ~engine_standin();

    /// @returns The address it listens on.
    result<endpoint> start();
    /// Breaks all streams and closes the listener.
    void stop();

    engine_records records() const;
    void setFault(const engine_fault &fault);

private:
    struct state;
    std::unique_ptr<state> inner;
};

} // namespace poplarspool::standin
