#pragma once

namespace guavaramp {

/// Sets the name of the calling thread, under which the system's tools show its processor time. The kernel
/// rejects a name of more than 15 characters; the thread then keeps its old name.
void name_thread(const char* name) noexcept;

}  // namespace guavaramp
