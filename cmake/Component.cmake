# Compile options that every target of this project shares.
add_library(amaranthcove_options INTERFACE)
target_include_directories(amaranthcove_options INTERFACE
  ${PROJECT_SOURCE_DIR}/include ${PROJECT_SOURCE_DIR})
target_compile_options(amaranthcove_options INTERFACE
  -Wall -Wextra -Wshadow -Wnon-virtual-dtor -Wold-style-cast -Werror)
if(CMAKE_CXX_COMPILER_ID STREQUAL "GNU")
  # g++ 12 wrongly reports -Wrestrict for `"literal" + std::string` at -O3.
  # clang-tidy reads the same command lines and does not know this warning.
  target_compile_options(amaranthcove_options INTERFACE
    -Wno-restrict -Wno-unknown-warning-option)
endif()
if(AMARANTHCOVE_SANITIZE)
  target_compile_options(amaranthcove_options INTERFACE
    -fsanitize=address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer)
  target_link_options(amaranthcove_options INTERFACE -fsanitize=address,undefined)
endif()

# Selects h2o's own event loop (evloop) instead of libuv in its headers, which are
# not written for C++ warnings.
add_library(amaranthcove_h2o INTERFACE)
target_compile_definitions(amaranthcove_h2o INTERFACE H2O_USE_LIBUV=0)
target_link_libraries(amaranthcove_h2o INTERFACE h2o-evloop OpenSSL::SSL OpenSSL::Crypto)

# amaranthcove_component(NAME SOURCES file... [DEPS target...] [TESTS file...]
#                        [TEST_DEPS target...])
# Adds the static library amaranthcove_NAME. TESTS are the sources of the CppUTest
# program NAME_test, which scripts/test finds in build/PRESET/tests and runs.
function(amaranthcove_component name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS;TESTS;TEST_DEPS" ${ARGN})
  add_library(amaranthcove_${name} STATIC ${ARG_SOURCES})
  target_link_libraries(amaranthcove_${name} PUBLIC amaranthcove_options ${ARG_DEPS})
  if(ARG_TESTS AND AMARANTHCOVE_TESTS)
    amaranthcove_test(${name} SOURCES ${ARG_TESTS} DEPS amaranthcove_${name} ${ARG_TEST_DEPS})
  endif()
endfunction()

# amaranthcove_test(NAME SOURCES file... DEPS target...)
# Adds the CppUTest program NAME_test.
function(amaranthcove_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_executable(${name}_test ${ARG_SOURCES} ${PROJECT_SOURCE_DIR}/testing/support/test_main.cc)
  set_target_properties(${name}_test PROPERTIES
    ENABLE_EXPORTS ON  # Names in the stacks of crashes.
    RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/tests)
  target_link_libraries(${name}_test PRIVATE amaranthcove_options ${ARG_DEPS} CppUTest)
  add_test(NAME ${name}_test COMMAND ${name}_test)
endfunction()
