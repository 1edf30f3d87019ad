# Compiler flags and target functions shared by all libraries, programs and tests.

add_library(wasabivale_flags INTERFACE)
target_compile_options(wasabivale_flags INTERFACE -Wall -Wextra -Wpedantic -Wshadow
  -Wnon-virtual-dtor -Werror)
target_compile_definitions(wasabivale_flags INTERFACE
  WASABIVALE_VERSION="${PROJECT_VERSION}"
  WASABIVALE_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
if(WASABIVALE_SANITIZE)
  # With sanitizers on, GCC wrongly reports std::function as uninitialised.
  target_compile_options(wasabivale_flags INTERFACE -fsanitize=address,undefined
    -fno-sanitize-recover=undefined -fno-omit-frame-pointer -Wno-maybe-uninitialized)
  target_link_options(wasabivale_flags INTERFACE -fsanitize=address,undefined)
endif()
if(WASABIVALE_MUTATIONS)
  target_compile_definitions(wasabivale_flags INTERFACE WASABIVALE_MUTATIONS=1)
endif()

# wasabivale_library(NAME [DEPENDS target...])
# Builds src/*.cpp as the static library NAME with public headers in include/, and
# tests/*.cpp, if there are any, as the CTest test NAME.
function(wasabivale_library NAME)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB Sources CONFIGURE_DEPENDS "${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp")
  add_library(${NAME} STATIC ${Sources})
  target_include_directories(${NAME} PUBLIC include PRIVATE src)
  target_link_libraries(${NAME} PUBLIC ${ARG_DEPENDS} PRIVATE wasabivale_flags)
  wasabivale_tests(${NAME} ${NAME})
endfunction()

# wasabivale_program(NAME [DEPENDS target...])
# Builds src/*.cpp as the program NAME. The sources other than Main.cpp form the
# library NAME-lib, so that tests/*.cpp can link against them.
function(wasabivale_program NAME)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB Sources CONFIGURE_DEPENDS "${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp")
  list(FILTER Sources EXCLUDE REGEX "/src/Main\\.cpp$")
  if(Sources)
    add_library(${NAME}-lib STATIC ${Sources})
    target_include_directories(${NAME}-lib PUBLIC src)
    target_link_libraries(${NAME}-lib PUBLIC ${ARG_DEPENDS} PRIVATE wasabivale_flags)
    set(Own ${NAME}-lib)
  endif()
  add_executable(${NAME} src/Main.cpp)
  target_link_libraries(${NAME} PRIVATE ${Own} ${ARG_DEPENDS} wasabivale_flags)
  set_target_properties(${NAME} PROPERTIES RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/bin")
  if(Own)
    wasabivale_tests(${NAME} ${Own})
  endif()
endfunction()

# wasabivale_tests(NAME LIBRARY)
# Builds tests/*.cpp of this folder against LIBRARY as the CTest test NAME.
function(wasabivale_tests NAME LIBRARY)
  if(NOT WASABIVALE_TESTS)
    return()
  endif()
  file(GLOB Tests CONFIGURE_DEPENDS "${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cpp")
  if(NOT Tests)
    return()
  endif()
  add_executable(test-${NAME} ${Tests})
  target_link_libraries(test-${NAME} PRIVATE ${LIBRARY} catch_main rapidcheck wasabivale_flags)
  target_include_directories(test-${NAME} PRIVATE src)
  set_target_properties(test-${NAME} PROPERTIES RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/tests")
  add_test(NAME ${NAME} COMMAND test-${NAME})
  set_tests_properties(${NAME} PROPERTIES TIMEOUT 600
    ENVIRONMENT "RC_PARAMS=seed=20261204;WASABIVALE_BIN=${CMAKE_BINARY_DIR}/bin")
endfunction()

if(WASABIVALE_TESTS)
  add_library(catch_main STATIC "${CMAKE_SOURCE_DIR}/cmake/CatchMain.cpp")
  target_link_libraries(catch_main PUBLIC Catch2::Catch2)
endif()
