# Functions that declare a library, a program or a doctest test with the warning
# and sanitizer options of this build.

add_library(ebonykeel_options INTERFACE)
target_include_directories(ebonykeel_options INTERFACE
  ${CMAKE_SOURCE_DIR}/packages ${CMAKE_SOURCE_DIR})
# GCC 12 gives false maybe-uninitialized warnings for kj::Maybe when it is inlined.
target_compile_options(ebonykeel_options INTERFACE
  -Wall -Wextra -Wpedantic -Werror -Wno-missing-field-initializers
  -Wno-maybe-uninitialized)
if(EBONYKEEL_SANITIZE)
  target_compile_options(ebonykeel_options INTERFACE
    -fsanitize=address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer)
  target_link_options(ebonykeel_options INTERFACE -fsanitize=address,undefined)
endif()

# ek_library(NAME target SRCS files... DEPS targets...)
function(ek_library)
  cmake_parse_arguments(ARG "" "NAME" "SRCS;DEPS" ${ARGN})
  if(ARG_SRCS)
    add_library(${ARG_NAME} STATIC ${ARG_SRCS})
    target_link_libraries(${ARG_NAME} PUBLIC ebonykeel_options ${ARG_DEPS})
  else()
    add_library(${ARG_NAME} INTERFACE)
    target_link_libraries(${ARG_NAME} INTERFACE ebonykeel_options ${ARG_DEPS})
  endif()
endfunction()

# ek_program(NAME target SRCS files... DEPS targets...)
function(ek_program)
  cmake_parse_arguments(ARG "" "NAME" "SRCS;DEPS" ${ARGN})
  add_executable(${ARG_NAME} ${ARG_SRCS})
  target_link_libraries(${ARG_NAME} PRIVATE ebonykeel_options ${ARG_DEPS})
  set_target_properties(${ARG_NAME} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# Sets `OUT` to the doctest argument that excludes the test cases of `TARGET`
# listed in KNOWN-RED.txt, or to an empty string if there are none.
function(ek_known_red TARGET OUT)
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS
    ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt)
  set(argument)
  if(EXISTS ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt)
    file(STRINGS ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt lines REGEX "^${TARGET}: ")
    set(names)
    foreach(line IN LISTS lines)
      string(REGEX REPLACE "^${TARGET}: ([^|]*[^| ]) *\\|.*$" "\\1" name "${line}")
      list(APPEND names "${name}")
    endforeach()
    if(names)
      list(JOIN names "," joined)
      set(argument "--test-case-exclude=${joined}")
    endif()
  endif()
  set(${OUT} "${argument}" PARENT_SCOPE)
endfunction()

# ek_test(NAME target SRCS files... DEPS targets... [LABELS labels...])
function(ek_test)
  cmake_parse_arguments(ARG "" "NAME" "SRCS;DEPS;LABELS" ${ARGN})
  add_executable(${ARG_NAME} ${ARG_SRCS})
  target_link_libraries(${ARG_NAME} PRIVATE ebonykeel_options doctest::doctest ${ARG_DEPS})
  target_compile_definitions(${ARG_NAME} PRIVATE
    DOCTEST_CONFIG_NO_SHORT_MACRO_NAMES)
  # The first source file contains the main function of the test program.
  list(GET ARG_SRCS 0 first)
  set_property(SOURCE ${first} APPEND PROPERTY COMPILE_DEFINITIONS
    DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN)
  ek_known_red(${ARG_NAME} known_red)
  add_test(NAME ${ARG_NAME} COMMAND ${ARG_NAME} ${known_red})
  set_tests_properties(${ARG_NAME} PROPERTIES TIMEOUT 300)
  if(ARG_LABELS)
    set_tests_properties(${ARG_NAME} PROPERTIES LABELS "${ARG_LABELS}")
  endif()
endfunction()
