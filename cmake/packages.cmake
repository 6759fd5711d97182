# Defines the library lycheestand_NAME, its test program and its samples from
# packages/NAME/{include,src,test,samples}, or from FOLDER/{include,...}.
# DEPS are the libraries that its public header needs; TEST_DEPS are those that
# only its tests need, and TEST_INCLUDE the folders of test headers that they
# share with other packages. HELPERS lists the sources in test/ that aren't named
# *_test.cc.
function(lycheestand_package NAME)
  cmake_parse_arguments(ARG "" "FOLDER" "DEPS;TEST_DEPS;TEST_INCLUDE;HELPERS" ${ARGN})
  set(root ${CMAKE_SOURCE_DIR}/packages/${NAME})
  if(ARG_FOLDER)
    set(root ${CMAKE_SOURCE_DIR}/${ARG_FOLDER})
  endif()
  file(GLOB sources CONFIGURE_DEPENDS ${root}/src/*.cc)
  set(target lycheestand_${NAME})
  if(sources)
    add_library(${target} STATIC ${sources})
    target_include_directories(${target} PUBLIC ${root}/include PRIVATE ${root}/src)
    if(EXISTS ${root}/generated)
      target_include_directories(${target} SYSTEM PRIVATE ${root}/generated)
    endif()
    target_link_libraries(${target} PUBLIC ${ARG_DEPS})
  else()
    add_library(${target} INTERFACE)
    target_include_directories(${target} INTERFACE ${root}/include)
    target_link_libraries(${target} INTERFACE ${ARG_DEPS})
  endif()
  if(NOT LYCHEESTAND_TESTS)
    return()
  endif()
  file(GLOB tests CONFIGURE_DEPENDS ${root}/test/*.cc)
  if(tests)
    list(TRANSFORM ARG_HELPERS PREPEND ${root}/test/)
    lycheestand_test(${NAME}_test SOURCES ${tests} ${ARG_HELPERS}
      DEPS ${target} ${ARG_TEST_DEPS}
      INCLUDE ${root}/src ${root}/test ${ARG_TEST_INCLUDE})
  endif()
  file(GLOB samples CONFIGURE_DEPENDS ${root}/samples/*.cc)
  foreach(sample ${samples})
    get_filename_component(stem ${sample} NAME_WE)
    add_executable(sample_${NAME}_${stem} ${sample})
    target_link_libraries(sample_${NAME}_${stem} PRIVATE ${target})
  endforeach()
endfunction()

# Defines a Catch2 test program and registers it with CTest.
function(lycheestand_test NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS;INCLUDE" ${ARGN})
  add_executable(${NAME} ${ARG_SOURCES})
  target_link_libraries(${NAME} PRIVATE lycheestand_catch_main ${ARG_DEPS})
  target_include_directories(${NAME} PRIVATE ${ARG_INCLUDE})
  add_test(NAME ${NAME} COMMAND ${NAME})
  set_tests_properties(${NAME} PROPERTIES TIMEOUT 300)
endfunction()

# Defines a program from all sources in a folder.
function(lycheestand_program NAME FOLDER)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${FOLDER}/*.cc)
  add_executable(${NAME} ${sources})
  target_link_libraries(${NAME} PRIVATE ${ARG_DEPS})
endfunction()
