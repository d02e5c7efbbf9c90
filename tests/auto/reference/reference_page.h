#ifndef PAPAYADRIFT_TESTS_REFERENCE_REFERENCE_PAGE_H_
#define PAPAYADRIFT_TESTS_REFERENCE_REFERENCE_PAGE_H_

#include <string>

namespace papayadrift {

// Returns docs/reference.md as it must be by the tables in the code.
std::string ReferencePage();

}  // namespace papayadrift

#endif  // PAPAYADRIFT_TESTS_REFERENCE_REFERENCE_PAGE_H_
