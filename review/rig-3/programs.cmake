fescueledge_program(fescueledge-review-kindchange SOURCES ${CMAKE_SOURCE_DIR}/review/rig-3/kindchange.cpp
    LINK fescueledge_platform_standin)
