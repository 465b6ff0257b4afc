/** Validates the bodies of completion requests and builds their responses, in the format of the OpenAI API. */
import type { Outcome, Problem } from '@fighub/core';
import { fail, notRun, ok } from '@fighub/core';
import { z } from 'zod';

/** Token limit of a request that states none, unless the limit of its model is lower. */
const DEFAULT_MAX_TOKENS = 128;

const commonFields = {
  model: z.string().min(1),
  max_tokens: z.number().int().positive().optional(),
  stream: z.boolean().default(false),
};

const completionSchema = z.looseObject({ ...commonFields, prompt: z.string().min(1) });
const chatSchema = z.looseObject({
  ...commonFields,
  messages: z
    .array(z.looseObject({ role: z.enum(['system', 'user', 'assistant']), content: z.string() }))
    .min(1),
});

/** A validated request. */
export interface CompletionRequest {
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Whether the response is sent as server-sent events. */
  readonly stream: boolean;
  /** Whether the request was made to the chat endpoint, which determines the format of the response. */
  readonly chat: boolean;
}

/**
 * Validates a body of `/v1/completions`, or of `/v1/chat/completions` when `chat` is set. Fails with `bad_request`
 * if the body is not valid.
 */
export function checkCompletion(
  body: unknown,
  chat: boolean,
  modelMaxTokens: (model: string) => number | undefined,
): Outcome<CompletionRequest, Problem> {
  const parsed = chat ? chatSchema.safeParse(body) : completionSchema.safeParse(body);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    return fail(notRun('bad_request', `${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'not valid'}`));
  }
  const { data } = parsed;
  const prompt = 'messages' in data ? promptOf(data.messages as ChatMessage[]) : (data.prompt as string);
  return ok({
    model: data.model,
    prompt,
    maxTokens:
      data.max_tokens ?? Math.min(DEFAULT_MAX_TOKENS, modelMaxTokens(data.model) ?? DEFAULT_MAX_TOKENS),
    stream: data.stream,
    chat,
  });
}

interface ChatMessage {
  readonly role: string;
  readonly content: string;
}

/** Returns the prompt for a conversation: one line for each message, with its role. */
export function promptOf(messages: readonly ChatMessage[]): string {
  return messages.map((message) => `${message.role}: ${message.content}`).join('\n');
}

/** Returns one server-sent event of a streamed response. */
export function streamEvent(id: string, request: CompletionRequest, text: string, finished: boolean): string {
  const choice = request.chat
    ? { index: 0, delta: finished ? {} : { content: text }, finish_reason: finished ? 'stop' : null }
    : { index: 0, text, finish_reason: finished ? 'stop' : null };
  const object = request.chat ? 'chat.completion.chunk' : 'text_completion';
  return `data: ${JSON.stringify({ id, object, model: request.model, choices: [choice] })}\n\n`;
}

/** Returns the JSON document of a response that is not streamed. */
export function completionDocument(
  id: string,
  request: CompletionRequest,
  tokens: readonly string[],
): unknown {
  const text = tokens.join('');
  const choice = request.chat
    ? { index: 0, message: { role: 'assistant', content: text }, finish_reason: 'stop' }
    : { index: 0, text, finish_reason: 'stop' };
  return {
    id,
    object: request.chat ? 'chat.completion' : 'text_completion',
    model: request.model,
    choices: [choice],
    usage: { completion_tokens: tokens.length },
  };
}
