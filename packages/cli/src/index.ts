/** Binaries of operators. */
export {};
