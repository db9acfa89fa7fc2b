# Runs PROGRAM on FOLDER/requests.txt and compares its output with FOLDER/expected.txt.
execute_process(COMMAND ${PROGRAM} ${FOLDER}/manifest.ini INPUT_FILE ${FOLDER}/requests.txt
    OUTPUT_VARIABLE printed RESULT_VARIABLE status)
file(READ ${FOLDER}/expected.txt expected)
if(NOT status EQUAL 0)
    message(FATAL_ERROR "exit status ${status}")
endif()
if(NOT printed STREQUAL expected)
    message(FATAL_ERROR "printed:\n${printed}\nexpected:\n${expected}")
endif()
