#pragma once

#include <string>

/// @returns An inventory with two engines.
/// @param drained Id of the engine that is draining; empty for none.
inline std::string sampleInventory(const std::string &drained = "")
{
    std::string text = R"(deployment = "demo"
zones = ["zone-a"]
[[pools]]
id = "llm"
kind = "engine"
serves = [{ model = "demo-7b", version = "1" }]
[[runner_defaults]]
pool = "llm"
kv_pieces = 512
checks_fence = true
may_carry = [{ model = "demo-7b", version = "1" }]
)";
    int port = 9101;
    for (const std::string id : {"engine-2", "engine-1"}) {
        text += "[[runners]]\nid = \"" + id + "\"\npool = \"llm\"\nzone = \"zone-a\"\n"
                + "address = \"127.0.0.1:" + std::to_string(port++) + "\"\n";
        if (id == drained)
            text += "draining = true\n";
    }
    return text;
}

inline std::string sampleRules(int retryPercent = 10)
{
    return "retry_share = " + std::to_string(retryPercent / 100.0)
            + "\n[[classes]]\nname = \"live\"\nrank = 0\n";
}
