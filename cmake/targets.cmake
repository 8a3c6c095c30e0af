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
