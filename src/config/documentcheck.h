#pragma once

#include "base/json.h"
#include "config/document.h"

namespace lavenderhall {

/// Checks the constraints between the entries of \a document, whose lists must be sorted: unique
/// names and keys, and valid references. Records an error in \a reader.
void checkConsistency(const Document &document, ObjectReader &reader);

} // namespace lavenderhall
