namespace quincewing { }
