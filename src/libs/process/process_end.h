#ifndef PAPAYADRIFT_PROCESS_PROCESS_END_H_
#define PAPAYADRIFT_PROCESS_PROCESS_END_H_

namespace papayadrift::process {

// Ends the process with this exit code, without destroying what threads of the
// HTTP library may still use: callers connect until the very end. All that
// must last has to be written before.
[[noreturn]] void EndProcess(int exit_code);

}  // namespace papayadrift::process

#endif  // PAPAYADRIFT_PROCESS_PROCESS_END_H_
