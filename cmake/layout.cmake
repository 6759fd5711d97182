# A deployment turns this off and builds only the programs that it runs.
option(LYCHEESTAND_TESTS "build tests, samples, stand-ins and benches" ON)

add_library(lycheestand_catch_main STATIC EXCLUDE_FROM_ALL test/catch_main.cc)

set(CAF_TARGETS ${CAF_CORE_LIBRARY} Threads::Threads)

# The packages; each may depend only on those above it.
lycheestand_package(core DEPS Boost::headers)
lycheestand_package(wire DEPS lycheestand_core)
lycheestand_package(settings DEPS lycheestand_core Boost::json ${ZSTD_LIBRARY})
lycheestand_package(net DEPS lycheestand_core Boost::log Boost::json ${CAF_TARGETS} ${SODIUM_LIBRARY})
lycheestand_package(state DEPS lycheestand_core ${XXHASH_LIBRARY})
lycheestand_package(journal DEPS lycheestand_state)
lycheestand_package(budget DEPS lycheestand_core TEST_DEPS lycheestand_state HELPERS budget_simulation.cc)
lycheestand_package(consensus DEPS lycheestand_core)
lycheestand_package(storage DEPS lycheestand_core ${XXHASH_LIBRARY} HELPERS simulated_disk.cc)
lycheestand_package(routing DEPS lycheestand_core)
lycheestand_package(membership DEPS lycheestand_core)
lycheestand_package(quarantine DEPS lycheestand_core)
lycheestand_package(quarantine_codec DEPS lycheestand_quarantine lycheestand_wire)
lycheestand_package(limits DEPS lycheestand_core)
lycheestand_package(streams DEPS lycheestand_core lycheestand_membership)
lycheestand_package(routes DEPS lycheestand_core)
lycheestand_package(discovery DEPS lycheestand_net lycheestand_membership TEST_INCLUDE packages/net/test)
lycheestand_package(router DEPS lycheestand_routes lycheestand_discovery lycheestand_net lycheestand_settings lycheestand_budget lycheestand_routing lycheestand_membership lycheestand_quarantine_codec lycheestand_limits lycheestand_streams lycheestand_wire TEST_INCLUDE packages/net/test)
lycheestand_package(control DEPS lycheestand_discovery lycheestand_net lycheestand_settings lycheestand_state lycheestand_membership lycheestand_quarantine_codec lycheestand_limits lycheestand_streams lycheestand_wire lycheestand_journal lycheestand_consensus lycheestand_storage TEST_INCLUDE packages/net/test)
lycheestand_package(client DEPS lycheestand_net lycheestand_settings TEST_INCLUDE packages/net/test)
lycheestand_package(platform FOLDER platform DEPS lycheestand_router lycheestand_control)

lycheestand_program(lycheestandd packages/daemon/src DEPS lycheestand_platform)
lycheestand_program(lycheestand packages/client/main DEPS lycheestand_client)

if(NOT LYCHEESTAND_TESTS)
  return()
endif()

# Stand-ins for engines, services and the platform. These are test programs, which
# aren't deployed.
function(lycheestand_standin NAME)
  add_executable(standin_${NAME} test/standins/${NAME}.cc)
  target_link_libraries(standin_${NAME} PRIVATE lycheestand_net)
endfunction()
lycheestand_standin(engine)
lycheestand_standin(platform)
lycheestand_standin(records)
lycheestand_standin(weights)
lycheestand_standin(proxy)

# Readers of bytes from outside, with changed inputs and fixed seeds.
file(GLOB fuzz_sources CONFIGURE_DEPENDS test/fuzz/*.cc)
lycheestand_test(fuzz_test SOURCES ${fuzz_sources} DEPS lycheestand_platform
  INCLUDE packages/net/src packages/router/src packages/storage/src)

# Fault tests with real processes. CTest runs each case in a separate process. Cases
# labelled short are part of "make check"; "make faults" runs all of them.
file(GLOB fault_sources CONFIGURE_DEPENDS test/faults/*.cc)
add_executable(faults_test ${fault_sources})
target_link_libraries(faults_test PRIVATE lycheestand_catch_main lycheestand_net)
add_dependencies(faults_test lycheestandd standin_engine standin_platform standin_records
                 standin_proxy)
function(lycheestand_fault_cases LABEL)
  foreach(case ${ARGN})
    add_test(NAME faults_${case} COMMAND faults_test "[${case}]")
    # A case uses about three cores.
    set_tests_properties(faults_${case} PROPERTIES LABELS "${LABEL}" TIMEOUT 180 PROCESSORS 3)
  endforeach()
endfunction()
lycheestand_fault_cases(short group-two-disks group-no-disk leader-search budget-partition answers-killed not-run once-killed once-retry
                        once-no-answer once-left leaving planned-stop control-stop config-cut overload-config
                        unconfirmed-denial deadly-part quarantine-lift deadly-request deadly-request-burst deadly-request-crowd deadly-request-once
                        deadly-request-stream deadly-request-leader deadly-request-sound deadly-request-popular silent-replica-blame undelivered-charge broken-event
                        error-after-stream cut-head reset-upload early-answer odd-status odd-field
                        endless-answer endless-chat
                        repeated-refusal server-leaving retry-after rate-limit rate-limit-refusal
                        rate-limit-restart cold cold-start late-stop late-body late-refusal broken-service-stream
                        late-chat large-answers large-requests group-seeds-exchanged group-gateways-restarted
                        no-workspaces zone-evacuation zone-evacuation-streams zone-orders zone-changes silent-stream silent-soak soak
                        stream-version-resume stream-version-takeup stream-version-restart
                        stream-version-left stream-version-chain stream-version-foreign stream-version-single
                        stream-version-odd-list stream-version-outage stream-version-stale-router version-soak)
lycheestand_fault_cases(long group-replaced group-seeds budget-killed budget-frozen answers-broken once-race once-cut
                        config-one-way config-frozen config-restart control-race control-resent
                        control-killed control-isolated control-one-way control-disk control-restart
                        orders-fenced orders-ignored
                        pair-85 pair-88 pair-90 pair-100 pair-110 pair-118)

# These fill the memory and the connections of a process, so they run alone.
set(untrusted_cases endless-trailers endless-trailers-entry endless-trailers-control endless-trailers-admin
                    endless-extensions slow-headers small-fields unread-pipeline slow-readers idle-buffers
                    half-open absent-bodies)
lycheestand_fault_cases(short ${untrusted_cases})
foreach(case ${untrusted_cases})
  set_tests_properties(faults_${case} PROPERTIES RUN_SERIAL TRUE)
endforeach()

lycheestand_program(bench_load bench/load DEPS lycheestand_net)

# Benchmark of a fleet; it uses the harness of the fault tests.
lycheestand_program(bench_fleet bench/fleet DEPS lycheestand_net)
target_sources(bench_fleet PRIVATE test/faults/fleet.cc test/faults/fleet_start.cc test/faults/chat.cc test/faults/process.cc test/faults/http_client.cc)
add_dependencies(bench_fleet lycheestandd standin_engine standin_platform standin_records standin_proxy bench_load)

# Microbenchmarks and the comparison of routing policies; built by default, and run
# with "make bench-micro" and "make bench-policy".
find_package(benchmark REQUIRED)
lycheestand_program(bench_micro bench/micro DEPS lycheestand_routing lycheestand_membership lycheestand_budget lycheestand_quarantine
                    lycheestand_settings lycheestand_wire lycheestand_journal benchmark::benchmark)
lycheestand_program(bench_policy bench/policy DEPS lycheestand_routing)

# Prints the measured values in docs/budgets.md.
add_executable(budget_comparison test/models/budget_comparison.cc packages/budget/test/budget_simulation.cc)
target_include_directories(budget_comparison PRIVATE packages/budget/test)
target_link_libraries(budget_comparison PRIVATE lycheestand_budget lycheestand_state)
