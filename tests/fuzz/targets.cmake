# Fuzz targets, built with libFuzzer. They use only the sources that parse external input, compiled
# with AddressSanitizer and UndefinedBehaviorSanitizer.
if(NOT CMAKE_CXX_COMPILER_ID STREQUAL "Clang")
  message(FATAL_ERROR "the fuzz targets require clang")
endif()

set(fuzzed
    src/base/bounded_json.cpp src/base/clock.cpp src/base/endpoint.cpp src/base/error_reply.cpp src/base/hash.cpp
    src/base/http_text.cpp src/base/journal.cpp src/base/memory_budget.cpp src/base/metrics.cpp src/base/named_thread.cpp
    src/base/request_reader.cpp src/base/result.cpp src/base/socket.cpp
    src/policy/inventory.cpp src/policy/rules.cpp
    src/peer/call_wire.cpp src/peer/codec.cpp src/peer/frame.cpp src/peer/gossip_message.cpp
    src/peer/load_update.cpp src/peer/member_record.cpp src/peer/messages.cpp
    src/peer/packed_address.cpp src/peer/store_update.cpp
    src/gateway/caller_key.cpp src/gateway/caller_limits.cpp src/gateway/catalogue.cpp src/gateway/catalogue_updater.cpp
    src/gateway/entry_age.cpp src/gateway/entry_filter.cpp src/gateway/envelope.cpp src/gateway/event_splitter.cpp
    src/gateway/gateway_settings.cpp src/gateway/route_index.cpp src/gateway/runner_call.cpp
    src/gateway/runner_set.cpp
    src/gateway/limit_message.cpp
    src/gateway/relayed_changes.cpp src/gateway/tunnel_message.cpp
    src/operators/config_files.cpp src/operators/cross_checks.cpp src/operators/gateway_file.cpp
    src/operators/inventory_file.cpp src/operators/key_table.cpp src/operators/rules_file.cpp
    src/operators/settings_file.cpp src/operators/toml_reader.cpp src/operators/value_rules.cpp
    src/workspaces/workspaces.cpp src/duties/fleet_clock.cpp src/duties/usage.cpp
    src/duties/usage_update.cpp src/scaling/fleet_plan.cpp src/streams/origin_message.cpp
    src/withdrawals/withdrawal_message.cpp
    src/crashes/crash_message.cpp src/crashes/crash_records.cpp src/crashes/crash_table.cpp
    src/crashes/crash_update.cpp src/crashes/part_verdicts.cpp
    platform/decode.cpp platform/decode_crash_records.cpp platform/decode_workspaces.cpp platform/dialect.cpp platform/json_count.cpp platform/store_wire.cpp)

add_library(poplarspool_fuzzed STATIC EXCLUDE_FROM_ALL ${fuzzed})
target_include_directories(poplarspool_fuzzed PUBLIC ${PROJECT_SOURCE_DIR}/include
                           ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR})
# Added after the build type's options, so that -O1 and -g1 take precedence.
target_compile_options(poplarspool_fuzzed PUBLIC -O1 -g1 -Wno-error
                       -fsanitize=fuzzer-no-link,address,undefined -fno-sanitize-recover=all)
target_link_options(poplarspool_fuzzed PUBLIC -fsanitize=address,undefined)
target_link_libraries(poplarspool_fuzzed PUBLIC Threads::Threads PkgConfig::LOG4CXX
                      PkgConfig::XXHASH PkgConfig::TOMLPP OpenSSL::Crypto)

add_custom_target(fuzzers)
foreach(target calls datagrams files replies requests store)
  add_executable(fuzz_${target} EXCLUDE_FROM_ALL tests/fuzz/${target}.cpp)
  target_link_libraries(fuzz_${target} PRIVATE poplarspool_fuzzed)
  target_link_options(fuzz_${target} PRIVATE -fsanitize=fuzzer)
  add_dependencies(fuzzers fuzz_${target})
endforeach()
