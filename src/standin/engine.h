#pragma once

#include "poplarspool/base/http.h"
#include "standin/engine_types.h"

#include <memory>

namespace poplarspool::standin {

/// A small emulator of a model engine behind the wire form of docs/API-ENGINES.md, with the
/// control of tests under /standin/.
class engine_standin
{
public:
    explicit engine_standin(const engine_options &options);
    ~engine_standin();

    /// @returns The address it listens on.
    result<endpoint> start();
    /// Cuts all streams and closes.
    void stop();

    engine_records records() const;
    void setFault(const engine_fault &fault);

private:
    struct state;
    std::unique_ptr<state> inner;
};

} // namespace poplarspool::standin
