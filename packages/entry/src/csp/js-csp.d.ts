/** Types for the parts of js-csp that are used here; the library has no type declarations. */
declare module 'js-csp' {
  export interface Buffer<Value> {
    readonly valueType?: Value;
  }
  export interface Channel<Value> {
    close(): void;
    isClosed(): boolean;
    readonly valueType?: Value;
  }
  export type Instruction = object;
  export interface Csp {
    readonly CLOSED: null;
    readonly NO_VALUE: unique symbol;
    chan<Value>(buffer?: Buffer<Value> | number): Channel<Value>;
    go(
      body: (...values: never[]) => Generator<Instruction, unknown, never>,
      values?: unknown[],
    ): Channel<unknown>;
    take<Value>(channel: Channel<Value>): Instruction;
    put<Value>(channel: Channel<Value>, value: Value): Instruction;
    putAsync<Value>(channel: Channel<Value>, value: Value, done?: () => void): void;
    poll<Value>(channel: Channel<Value>): Value | symbol;
    offer<Value>(channel: Channel<Value>, value: Value): boolean;
    timeout(ms: number): Channel<never>;
    readonly buffers: {
      fixed<Value>(size: number): Buffer<Value>;
      dropping<Value>(size: number): Buffer<Value>;
      sliding<Value>(size: number): Buffer<Value>;
    };
  }
  const csp: Csp;
  export default csp;
}
