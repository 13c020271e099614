#pragma once

#include "config/chunks.h"

#include <string>

/// Export of a configuration as a Python program.
namespace lavenderhall {

/// Returns a program that builds \a document with the operators' Python module and prints it as
/// JSON. It leaves out the organisations' keys and lists their ids in comments. The version is that
/// of \a root.
std::string toPythonProgram(const Document &document, const ConfigRoot &root);

} // namespace lavenderhall
