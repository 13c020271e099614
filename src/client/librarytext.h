#pragma once

/// Source of the operators' Python module, which is embedded in the binary.
namespace lavenderhall {

/// Returns the text of library/lavenderhall.py.
const char *libraryText();

} // namespace lavenderhall
