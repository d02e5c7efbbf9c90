# papayadrift_library(<name> SOURCES ... [DEPENDS ...] [PRIVATE_DEPENDS ...]):
# one library, one folder.
function(papayadrift_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;PRIVATE_DEPENDS" ${ARGN})
  add_library(${name} STATIC ${ARG_SOURCES})
  target_include_directories(${name} PUBLIC ${CMAKE_SOURCE_DIR}/src/libs)
  target_link_libraries(
    ${name}
    PUBLIC ${ARG_DEPENDS}
    PRIVATE ${ARG_PRIVATE_DEPENDS})
  papayadrift_options(${name})
endfunction()

# papayadrift_program(<name> SOURCES ... [DEPENDS ...]): one executable.
function(papayadrift_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
  papayadrift_options(${name})
endfunction()

# The tests that CI also runs under the sanitizers: of libraries that are free of
# cpprestsdk, whose own code is not instrumented.
add_custom_target(core_tests)
# Those of them that start threads.
add_custom_target(threaded_core_tests)

# papayadrift_test(<library> SOURCES ... [DEPENDS ...] [COST <number>]
# [CORE | THREADED_CORE]): tests/auto/<library>. Those of higher cost begin
# first.
function(papayadrift_test name)
  cmake_parse_arguments(ARG "CORE;THREADED_CORE" "COST" "SOURCES;DEPENDS"
                        ${ARGN})
  add_executable(${name}_test ${ARG_SOURCES})
  target_link_libraries(${name}_test PRIVATE ${ARG_DEPENDS} GTest::gtest_main
                                             rapidcheck)
  papayadrift_options(${name}_test)
  add_test(NAME ${name} COMMAND ${name}_test)
  set_tests_properties(
    ${name} PROPERTIES TIMEOUT 900 ENVIRONMENT
                       "RC_PARAMS=seed=20261204 max_success=200")
  if(ARG_COST)
    set_tests_properties(${name} PROPERTIES COST ${ARG_COST})
  endif()
  if(ARG_CORE)
    set_tests_properties(${name} PROPERTIES LABELS core)
    add_dependencies(core_tests ${name}_test)
  elseif(ARG_THREADED_CORE)
    set_tests_properties(${name} PROPERTIES LABELS "core;threaded_core")
    add_dependencies(core_tests ${name}_test)
    add_dependencies(threaded_core_tests ${name}_test)
  endif()
endfunction()

# papayadrift_benchmark(<name> SOURCES ... [DEPENDS ...]): prints bound lines.
function(papayadrift_benchmark name)
  papayadrift_program(${name}_benchmark ${ARGN})
endfunction()

function(papayadrift_options name)
  target_compile_options(${name} PRIVATE -Wall -Wextra -Wpedantic
                                         -Wno-missing-field-initializers
                                         $<$<CONFIG:Release>:-O2>)
  target_compile_definitions(${name} PRIVATE _TURN_OFF_PLATFORM_STRING)
endfunction()
