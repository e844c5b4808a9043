# Included at the project() call of the repository; adds the programs of the review after all other targets.
cmake_language(DEFER DIRECTORY ${CMAKE_SOURCE_DIR} CALL include ${CMAKE_SOURCE_DIR}/review/rig-3/programs.cmake)
