# The packages, in the order in which they may depend on each other.
add_library(lycheestand_catch_main STATIC test/catch_main.cc)

set(CAF_TARGETS ${CAF_CORE_LIBRARY} Threads::Threads)

lycheestand_package(core DEPS Boost::headers)
lycheestand_package(wire DEPS lycheestand_core)
lycheestand_package(settings DEPS lycheestand_core Boost::json)
lycheestand_package(net DEPS lycheestand_core Boost::log Boost::json ${CAF_TARGETS} ${SODIUM_LIBRARY})
lycheestand_package(state DEPS lycheestand_core ${XXHASH_LIBRARY})
lycheestand_package(journal DEPS lycheestand_state)
lycheestand_package(budget DEPS lycheestand_core TEST_DEPS lycheestand_state HELPERS exchange.cc)
lycheestand_package(router DEPS lycheestand_net lycheestand_settings lycheestand_budget lycheestand_wire)
lycheestand_package(control DEPS lycheestand_net lycheestand_settings lycheestand_state lycheestand_wire)

lycheestand_program(lycheestandd packages/daemon/src DEPS lycheestand_router lycheestand_control)

# Stand-ins for the platform; test programs that never ship.
function(lycheestand_standin NAME)
  add_executable(standin_${NAME} test/standins/${NAME}.cc)
  target_link_libraries(standin_${NAME} PRIVATE lycheestand_net)
endfunction()
lycheestand_standin(engine)
lycheestand_standin(platform)

# Prints the figures of docs/budgets.md.
add_executable(budget_comparison test/models/budget_comparison.cc packages/budget/test/exchange.cc)
target_include_directories(budget_comparison PRIVATE packages/budget/test)
target_link_libraries(budget_comparison PRIVATE lycheestand_budget lycheestand_state)
