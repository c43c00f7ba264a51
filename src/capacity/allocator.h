#pragma once

namespace clementinelane {

/// Makes the process return large blocks to the system when they are freed, so
/// that what it holds and what it occupies stay close. Call it before threads
/// are started.
void returnFreedMemory();

} // namespace clementinelane
