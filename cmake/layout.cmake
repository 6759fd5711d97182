# The packages, in the order in which they may depend on each other.
add_library(lycheestand_catch_main STATIC test/catch_main.cc)

set(CAF_TARGETS ${CAF_CORE_LIBRARY} Threads::Threads)

lycheestand_package(core DEPS Boost::headers)
lycheestand_package(wire DEPS lycheestand_core)
