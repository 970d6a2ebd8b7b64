#pragma once

namespace guavaramp {

/// Names the calling thread, so that its processor time can be told apart in the system's tools. Longer names
/// than 15 characters are refused by the kernel and ignored.
void name_thread(const char* name) noexcept;

}  // namespace guavaramp
