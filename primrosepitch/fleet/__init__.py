"""Fleet state: records of the log and the state that every process folds from them."""
