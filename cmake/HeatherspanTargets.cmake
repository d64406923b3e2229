# Functions that declare the project's libraries, programs and tests in one way.

add_library(hs_options INTERFACE)
target_include_directories(hs_options INTERFACE ${CMAKE_CURRENT_SOURCE_DIR}/src)
target_compile_options(hs_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow)
if(HS_WARNINGS_AS_ERRORS)
  target_compile_options(hs_options INTERFACE -Werror)
endif()
# Boost.Asio 1.74 needs these to avoid deprecated paths in C++20.
target_compile_definitions(hs_options INTERFACE BOOST_ASIO_NO_DEPRECATED
                                                BOOST_ERROR_CODE_HEADER_ONLY)

# hs_add_library(NAME SOURCES ... DEPS ...): a static library hs_NAME.
function(hs_add_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_library(hs_${name} STATIC ${ARG_SOURCES})
  target_link_libraries(hs_${name} PUBLIC hs_options ${ARG_DEPS})
endfunction()

# hs_add_header_library(NAME DEPS ...): a library of headers only.
function(hs_add_header_library name)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  add_library(hs_${name} INTERFACE)
  target_link_libraries(hs_${name} INTERFACE hs_options ${ARG_DEPS})
endfunction()

# hs_add_program(NAME SOURCES ... DEPS ...): a program in build/bin.
function(hs_add_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE hs_options ${ARG_DEPS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# hs_add_test(NAME [SERIAL] SOURCES ... DEPS ...): the test program hs_NAME_test; ctest lists each of
# its cases. SERIAL: each runs with no other test beside it.
function(hs_add_test name)
  cmake_parse_arguments(ARG "SERIAL" "" "SOURCES;DEPS" ${ARGN})
  set(serial FALSE)
  if(ARG_SERIAL)
    set(serial TRUE)
  endif()
  add_executable(hs_${name}_test ${ARG_SOURCES})
  target_link_libraries(hs_${name}_test PRIVATE hs_options ${ARG_DEPS} GTest::gmock
                                                GTest::gtest_main)
  target_compile_definitions(
    hs_${name}_test PRIVATE HS_TEST_DATA_DIR="${CMAKE_CURRENT_SOURCE_DIR}")
  gtest_discover_tests(
    hs_${name}_test
    TEST_PREFIX "${name}."
    DISCOVERY_TIMEOUT 60
    PROPERTIES RUN_SERIAL ${serial})
endfunction()
