/** Rendezvous hashing: who serves a key follows from the members alone. */
import { digestNumber } from '@fighub/core';

/** The members in order of preference for `key`, the winner first. */
export function rankMembers(key: string, memberIds: readonly string[]): string[] {
  return memberIds
    .map((memberId) => ({ memberId, score: digestNumber(key, memberId) }))
    .sort((a, b) => b.score - a.score || (a.memberId < b.memberId ? -1 : 1))
    .map((entry) => entry.memberId);
}

/** The member that wins `key`, or undefined when there are no members. */
export function winnerOf(key: string, memberIds: readonly string[]): string | undefined {
  return rankMembers(key, memberIds)[0];
}
