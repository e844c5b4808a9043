# Helpers that declare one package: a library, a program or a test program.

option(FESCUELEDGE_SANITIZE "Sanitizers to build with, as -fsanitize takes them" "")

add_library(fescueledge_flags INTERFACE)
target_include_directories(fescueledge_flags INTERFACE ${CMAKE_SOURCE_DIR}/src/include)
target_compile_options(fescueledge_flags INTERFACE -Wall -Wextra -Wnon-virtual-dtor -Werror)
target_link_libraries(fescueledge_flags INTERFACE Threads::Threads nlohmann_json::nlohmann_json)
if(FESCUELEDGE_SANITIZE)
    target_compile_options(fescueledge_flags INTERFACE -fsanitize=${FESCUELEDGE_SANITIZE} -fno-omit-frame-pointer)
    target_link_options(fescueledge_flags INTERFACE -fsanitize=${FESCUELEDGE_SANITIZE})
    # asio uses fences, which the thread sanitizer does not know; the compiler only warns of that.
    target_compile_options(fescueledge_flags INTERFACE -Wno-tsan)
endif()

# fescueledge_library(NAME SOURCES... LINK...): a static library in the calling directory.
function(fescueledge_library name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
    add_library(${name} STATIC ${ARG_SOURCES})
    target_link_libraries(${name} PUBLIC fescueledge_flags ${ARG_LINK})
endfunction()

# fescueledge_program(NAME SOURCES... LINK...): a program in the calling directory.
function(fescueledge_program name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE fescueledge_flags ${ARG_LINK})
endfunction()

# fescueledge_test(NAME SOURCES... LINK... [LABELS...] [TIMEOUT seconds]): one Catch2 program, one ctest test.
function(fescueledge_test name)
    cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;LINK;LABELS" ${ARGN})
    if(NOT ARG_TIMEOUT)
        set(ARG_TIMEOUT 120)
    endif()
    if(FESCUELEDGE_SANITIZE)
        math(EXPR ARG_TIMEOUT "${ARG_TIMEOUT} * 6")
    endif()
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE fescueledge_flags testmain ${ARG_LINK})
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT})
    if(ARG_LABELS)
        set_tests_properties(${name} PROPERTIES LABELS "${ARG_LABELS}")
    endif()
endfunction()
