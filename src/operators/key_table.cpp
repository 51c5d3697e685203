#include "operators/key_table.h"

#include "operators/file_keys.h"

#include <sstream>

namespace poplarspool::operators {

std::string keyTableOf(file_kind kind)
{
    std::ostringstream out;
    out << "| key | unit | default | bounds | meaning |\n|---|---|---|---|---|\n";
    for (const key_row &row : rowsOfKind(kind))
        out << "| `" << row.key << "` | " << row.unit << " | " << row.defaultValue << " | "
            << row.bounds << " | " << row.description << " |\n";
    return out.str();
}

} // namespace poplarspool::operators
