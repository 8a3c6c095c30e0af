add_library(bulrushshore_options INTERFACE)
target_compile_options(bulrushshore_options INTERFACE -Wall -Wextra -Wpedantic -Werror)
target_include_directories(
  bulrushshore_options INTERFACE $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}>
                                 $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}/bulrushshore>)
if(BULRUSHSHORE_SANITIZE)
  target_compile_options(bulrushshore_options INTERFACE -fsanitize=address,undefined
                         -fno-sanitize-recover=all -fno-omit-frame-pointer)
  target_link_options(bulrushshore_options INTERFACE -fsanitize=address,undefined)
endif()
if(BULRUSHSHORE_FUZZ)
  # The ignorelist names the one header of CAF 0.17.6 that binds a null
  # reference.
  target_compile_options(
    bulrushshore_options
    INTERFACE -fsanitize=fuzzer-no-link,address,undefined -fno-sanitize-recover=all
              -fsanitize-ignorelist=${PROJECT_SOURCE_DIR}/tests/fuzz/sanitizer_ignorelist.txt
              -fno-omit-frame-pointer)
  target_link_options(bulrushshore_options INTERFACE -fsanitize=address,undefined)
endif()

# bulrushshore_library(name SOURCES ... DEPENDS ... PRIVATE_DEPENDS ...)
function(bulrushshore_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;PRIVATE_DEPENDS" ${ARGN})
  add_library(${name} STATIC ${ARG_SOURCES})
  add_library(bulrushshore::${name} ALIAS ${name})
  target_link_libraries(
    ${name}
    PUBLIC bulrushshore_options ${ARG_DEPENDS}
    PRIVATE ${ARG_PRIVATE_DEPENDS})
  set_property(GLOBAL APPEND PROPERTY BULRUSHSHORE_LIBRARIES ${name})
endfunction()

# bulrushshore_program(name SOURCES ... DEPENDS ...)
function(bulrushshore_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE bulrushshore_options gflags ${ARG_DEPENDS})
  target_compile_definitions(${name} PRIVATE BULRUSHSHORE_VERSION="${PROJECT_VERSION}")
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# bulrushshore_test(name SOURCES ... DEPENDS ...)
function(bulrushshore_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE bulrushshore_options GTest::gmock GTest::gtest_main
                                        ${ARG_DEPENDS})
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT 120)
endfunction()

# bulrushshore_fuzz_target(name DEPENDS ...): the libFuzzer target of the source
# "<name>_fuzzer.cc"; its corpus is the folder corpus/<name>.
function(bulrushshore_fuzz_target name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  add_executable(${name}_fuzzer ${name}_fuzzer.cc)
  target_link_libraries(${name}_fuzzer PRIVATE bulrushshore_options ${ARG_DEPENDS})
  target_link_options(${name}_fuzzer PRIVATE -fsanitize=fuzzer)
  set_target_properties(${name}_fuzzer PROPERTIES RUNTIME_OUTPUT_DIRECTORY
                                                  ${CMAKE_BINARY_DIR}/fuzz)
endfunction()
