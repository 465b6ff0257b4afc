/** Rendezvous hashing: the assignment of keys to members depends only on the key and the member ids. */
import { digestNumber } from '@fighub/core';

/** Orders the member ids by their preference for `key`, the most preferred first. */
export function rankMembers(key: string, memberIds: readonly string[]): string[] {
  return memberIds
    .map((memberId) => ({ memberId, score: digestNumber(key, memberId) }))
    .sort((a, b) => b.score - a.score || (a.memberId < b.memberId ? -1 : 1))
    .map((entry) => entry.memberId);
}

/** Id of the most preferred member for `key`, or undefined when there are no members. */
export function winnerOf(key: string, memberIds: readonly string[]): string | undefined {
  return rankMembers(key, memberIds)[0];
}
