#include "fuzz.h"
#include "poplarspool/operators/config_files.h"

using namespace poplarspool;
using namespace poplarspool::operators;

int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    std::string_view text(reinterpret_cast<const char *>(data), size);
    switch (fuzz::takeByte(text) % 5) {
    case 0:
        parseSettings("f", text);
        break;
    case 1:
        parseGatewaySettings("f", text);
        break;
    case 2:
        parseInventory("f", text);
        break;
    case 3:
        parseRules("f", text);
        break;
    default:
        // Inventory and rules in one input, separated by a line `---`.
        const std::size_t separator = std::min(text.find("\n---\n"), text.size());
        crossCheck("i", text.substr(0, separator), "r", text.substr(separator));
        detectFileKind(text);
        break;
    }
    return 0;
}
