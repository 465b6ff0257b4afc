/**
 * Divides the memory of a process among what it holds for callers. Answers loads that fill several kinds of buffers at the same time,
 * such as large batch jobs that arrive together: the platform ends a process that exceeds its memory.
 */

const BYTES_PER_MB = 1_048_576;
/** Memory of a process under its usual load, without the shares. */
const BASE_MB = 100;
const BODY_FRACTION = 0.1;
const RESPONSE_FRACTION = 0.1;
const INPUT_FRACTION = 0.1;
const INTAKE_FRACTION = 0.1;
/** Beyond this size, a larger process has no use for a larger share. */
const MAX_BUFFER_BYTES = 64 * BYTES_PER_MB;

/** What each kind may take, in bytes. All of them can be full at the same time. */
export interface MemoryShares {
  /** Bodies of the requests that are being handled, also of those that are relayed for other instances. */
  readonly requestBodyBytes: number;
  /** Parts of responses that callers have not got. */
  readonly responseBytes: number;
  /** Items of accepted batch jobs. */
  readonly jobInputBytes: number;
  /** Batch jobs that are being taken in. */
  readonly jobIntakeBytes: number;
  /** Connections of callers whose requests have not been seen. */
  readonly connectionBytes: number;
}

/** The shares of a process that may take `memoryMb` megabytes. */
export function memoryShares(memoryMb: number): MemoryShares {
  const memoryBytes = memoryMb * BYTES_PER_MB;
  const buffersFraction = BODY_FRACTION + RESPONSE_FRACTION + INPUT_FRACTION + INTAKE_FRACTION;
  return {
    requestBodyBytes: Math.min(MAX_BUFFER_BYTES, memoryBytes * BODY_FRACTION),
    responseBytes: Math.min(MAX_BUFFER_BYTES, memoryBytes * RESPONSE_FRACTION),
    jobInputBytes: Math.min(MAX_BUFFER_BYTES, memoryBytes * INPUT_FRACTION),
    jobIntakeBytes: memoryBytes * INTAKE_FRACTION,
    connectionBytes: Math.max(0, memoryBytes * (1 - buffersFraction) - BASE_MB * BYTES_PER_MB),
  };
}
